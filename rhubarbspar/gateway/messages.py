"""Messages between gateways."""

import dataclasses

from rhubarbspar.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayMessage(messages.Message):
    """A message between gateways."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUsage:
    """Requests of a client account that an instance has admitted since its start.

    Attributes
    ----------
    demand_per_s
        Requests that callers send now, refused ones included.
    """

    account_id: str
    admitted: int
    demand_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class VersionResults:
    """Results of one version's requests at one instance since the rollout's order.

    Attributes
    ----------
    revision
        Store revision of the order.
    running
        Requests that have not ended.
    slow
        Good responses that took several times the usual time.
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
class CondemnedVersion:
    """A version that was found bad under an order."""

    service_id: str
    version: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(GatewayMessage):
    """Regular statement of an instance about itself.

    Attributes
    ----------
    store_revision
        The store's revision up to which the sender knows all changes.
    store_reachable
        Whether the sender itself hears the store.
    accounts
        The accounts whose use has changed since the last heartbeat; all at the start of a connection.
    """

    incarnation: str
    store_revision: int
    store_reachable: bool
    leaving: bool
    accounts: tuple[AccountUsage, ...] = ()
    versions: tuple[VersionResults, ...] = ()
    condemned: tuple[CondemnedVersion, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRecord:
    """A key of the store; ``content`` is ``None`` if the key was deleted."""

    key: str
    revision: int
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreNews(GatewayMessage):
    """Changes of the store for a peer that the store does not serve.

    Attributes
    ----------
    after
        The peer's revision to which the changes apply.
    """

    base_revision: int
    revision: int
    records: tuple[RelayedRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSeen(GatewayMessage):
    """A request was under way at a backend server when that server died."""

    fingerprint: str
    server_id: str
