"""Messages between gateways."""

import dataclasses

from rhubarbspar.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayMessage(messages.Message):
    """A message between gateways."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUsage:
    """Requests of a client account at one instance.

    Attributes
    ----------
    admitted
        Requests admitted since the start of the instance.
    demand_per_s
        Current rate of requests, refused ones included.
    """

    account_id: str
    admitted: int
    demand_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class VersionResults:
    """Results of a version on one route at one instance, counted since the rollout request.

    Attributes
    ----------
    revision
        Store revision of the rollout request.
    running
        Requests that have not ended.
    slow
        Good responses that took several times the usual time of the route.
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
class Heartbeat(GatewayMessage):
    """State of an instance, sent regularly to all peers.

    Attributes
    ----------
    store_revision
        Store revision up to which the sender knows all changes.
    store_reachable
        Whether the sender itself watches the store and reaches it.
    leaving
        Whether the sender is stopping.
    accounts
        Accounts whose numbers have changed since the last heartbeat; all accounts in the first one
        of a connection.
    rejected_versions
        Versions that the sender knows to be bad.
    """

    incarnation: str
    store_revision: int
    store_reachable: bool
    leaving: bool
    accounts: tuple[AccountUsage, ...] = ()
    versions: tuple[VersionResults, ...] = ()
    rejected_versions: tuple[RejectedVersion, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRecord:
    """A changed key of the store; ``content`` is ``None`` if the key was deleted."""

    key: str
    revision: int
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreNews(GatewayMessage):
    """Changes of the store, relayed to a peer that does not watch the store or reach it.

    Attributes
    ----------
    base_revision
        The changes are complete for a peer that knows the store up to this revision.
    revision
        Store revision that the peer reaches with the changes.
    """

    base_revision: int
    revision: int
    records: tuple[RelayedRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSeen(GatewayMessage):
    """A backend server crashed while it ran a request with this fingerprint.

    Attributes
    ----------
    server_id
        Id and incarnation of the server.
    """

    fingerprint: str
    server_id: str
