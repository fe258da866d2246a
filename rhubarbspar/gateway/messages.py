"""Messages between gateways."""

import dataclasses
import typing

from rhubarbspar.core import messages

UNKNOWN_REVISION: typing.Final = -1


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayMessage(messages.Message):
    """A message between gateways."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUsage:
    """Requests of a client account at one or several instances.

    Attributes
    ----------
    admitted
        Requests admitted since the sums of the sender began.
    demand_per_s
        Current rate of requests, refused ones included.
    """

    account_id: str
    admitted: int
    demand_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class VersionResults:
    """Results of a version on one route, counted since the rollout request.

    Attributes
    ----------
    revision
        Store revision of the rollout request.
    running
        Requests that have not ended.
    good
        Responses without an error, and requests without a response in time.
    slow
        Those of them that took several times the usual time of the route.
    """

    service_id: str
    version: str
    revision: int
    sent: int
    running: int
    good: int
    bad: int
    slow: int
    route_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RejectedVersion:
    """Verdict that a version is bad, under the rollout request with this revision."""

    service_id: str
    version: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load and rate limit of a backend server, as it reported them with a response.

    Attributes
    ----------
    requests
        Running and waiting requests; ``None`` if the server does not report them.
    age_ms
        Time since the report.
    limit_per_s
        Requests a second that the server takes from all instances; ``None`` if it named no limit.
    """

    server_id: str
    requests: int | None
    age_ms: int
    limit_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(GatewayMessage):
    """State of an instance, and the sums of the instances that it speaks for.

    These are the sender and its children for another relay, the sender alone for its relay, and the
    whole rest of the fleet for a child.

    Attributes
    ----------
    store_revision
        Store revision up to which the sender knows all changes.
    store_reachable
        Whether the sender itself watches the store and reaches it.
    leaving
        Whether the sender is stopping.
    accounts
        Accounts whose sums have changed since the last heartbeat; all accounts in the first one.
    rejected_versions
        Versions that the sender knows to be bad.
    relay_id
        Relay that the sender reports to, its own id if it is one; empty means the same.
    sums_id
        Number of the series of sums for the receiver; differences between two series mean nothing.
    is_partial
        Whether the sums leave out, or only estimate, instances that are not heard.
    absent_ids, leaving_ids, follower_ids
        Instances of the sender's failure domain, or of the whole fleet for a child, that are not
        live, that are leaving, and that watch the store.
    loads
        Recent load reports of backend servers.
    links_lost
        Whether the sender has lost its links to the backend servers.
    links_lost_ids
        Instances that have, as in ``leaving_ids``.
    complete_from
        Store revision after which the sender knows all changes, deletions included.
    changed_revision
        Store revision of the last change that the sender relays; ``UNKNOWN_REVISION`` from a
        release that does not report it.
    operator_revision
        Newest store revision of the operators' records that the sender has;
        ``UNKNOWN_REVISION`` from a release that does not report it.
    """

    incarnation: str
    store_revision: int
    store_reachable: bool
    leaving: bool
    accounts: tuple[AccountUsage, ...] = ()
    versions: tuple[VersionResults, ...] = ()
    rejected_versions: tuple[RejectedVersion, ...] = ()
    relay_id: str = ''
    sums_id: int = 0
    is_partial: bool = False
    absent_ids: tuple[str, ...] = ()
    leaving_ids: tuple[str, ...] = ()
    follower_ids: tuple[str, ...] = ()
    loads: tuple[ServerLoad, ...] = ()
    links_lost: bool = False
    links_lost_ids: tuple[str, ...] = ()
    complete_from: int = 0
    changed_revision: int = UNKNOWN_REVISION
    operator_revision: int = UNKNOWN_REVISION


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRecord:
    """A changed key of the store; ``content`` is ``None`` if the key was deleted."""

    key: str
    revision: int
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class MissingRecord:
    """A record of the store that the sender lacks for want of room.

    Attributes
    ----------
    key
        Empty if the entry stands for any number of records whose keys the sender does not know.
    revision
        Revision of the record; of several, the newest one.
    size_bytes
        Memory that the record takes; of several, the largest one.
    """

    key: str
    revision: int
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreNews(GatewayMessage):
    """Changes of the store, relayed to a peer that does not watch the store or reach it.

    Attributes
    ----------
    base_revision
        The changes are complete for a peer that knows the store up to this revision.
    revision
        Store revision that the peer reaches with the changes.
    base_revision_max
        Highest store revision of a peer that reaches it. The records are then the difference of two
        reads of the store, which lacks what was written and deleted between them; ``None`` if there
        is no such bound.
    missing
        Changes that the sender lacks. An earlier release does not know this field and takes the
        changes to be complete.
    """

    base_revision: int
    revision: int
    records: tuple[RelayedRecord, ...]
    base_revision_max: int | None = None
    missing: tuple[MissingRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorChanges(GatewayMessage):
    """Changed records of operators, ahead of the changes before them.

    They do not change up to which store revision the receiver knows all changes.
    """

    records: tuple[RelayedRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSnapshotPart(GatewayMessage):
    """Part of all records of the store, for a peer whose changes the sender does not all know.

    The parts follow each other in the order of the keys.

    Attributes
    ----------
    revision
        Store revision that the peer reaches with the last part.
    after_key
        Last key of the part before; empty in the first part.
    is_last
        Whether no part follows.
    missing
        Records that the sender lacks, in the last part.
    """

    revision: int
    after_key: str
    is_last: bool
    records: tuple[RelayedRecord, ...]
    missing: tuple[MissingRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesReceived(GatewayMessage):
    """Acknowledgement of relayed changes or a snapshot, whether they were applied or not.

    Attributes
    ----------
    sent_revision
        Store revision that they lead to.
    known_revision
        Store revision up to which the sender of the acknowledgement knows all changes.
    """

    sent_revision: int
    known_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSeen(GatewayMessage):
    """A backend server crashed while it ran a request with this fingerprint.

    Attributes
    ----------
    server_id
        Id and incarnation of the server.
    age_ms
        Time since the crash.
    """

    fingerprint: str
    server_id: str
    age_ms: int = 0
