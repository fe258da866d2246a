"""The configuration as operators declare it, and what is known about its freshness."""

import dataclasses
import enum
import typing
from collections import abc

from rhubarbspar.core import events
from rhubarbspar.core import messages

_NEVER_MS: typing.Final = float('-inf')


class MoveKind(enum.StrEnum):
    """What a move shifts."""

    DRAIN = 'drain'
    VERSION = 'version'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of a service below a path prefix.

    Attributes
    ----------
    path_prefix
        Starts with ``/``; the longest matching prefix wins.
    methods
        Upper-case HTTP methods.
    idempotent
        Whether a request may run again.
    open_to_all
        Whether no access key is needed.
    timeout_ms
        Longest time a request may take.
    """

    path_prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    open_to_all: bool
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A server that runs one version of a service."""

    server_id: str
    address: str
    failure_domain: str
    slots: int
    version: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service with its routes and backend servers."""

    service_id: str
    version: str
    routes: tuple[Route, ...]
    backend_servers: tuple[BackendServer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account's rate and burst over all instances together."""

    account_id: str
    rate_per_s: float
    burst_requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class AccessKey:
    """An access key, known by the SHA-256 digest of its text (lower-case hexadecimal)."""

    key_digest: str
    account_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain and its region."""

    failure_domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """The capacity that traffic between two regions may use, in one direction."""

    source_region: str
    target_region: str
    rate_bits_per_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClientBlock:
    """A block of client addresses and the region nearest to it."""

    network: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A planned shift of traffic.

    Attributes
    ----------
    target
        The new version for ``VERSION``; a backend server, failure domain or instance for ``DRAIN``.
    service_id, old_version
        Set for ``VERSION``.
    deadline_unix_s
        When the move has to be done.
    cap_share
        Largest share of the service's requests that one step may shift, 0 to 1.
    """

    move_id: str
    kind: MoveKind
    target: str
    deadline_unix_s: float
    cap_share: float
    service_id: str = ''
    old_version: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A revision of the configuration; ``revision`` only grows."""

    revision: int
    deployment: str
    store_failure_domain: str
    services: abc.Mapping[str, Service]
    client_accounts: abc.Mapping[str, ClientAccount]
    access_keys: abc.Mapping[str, AccessKey]
    failure_domains: abc.Mapping[str, FailureDomain]
    links: tuple[Link, ...] = ()
    client_blocks: tuple[ClientBlock, ...] = ()
    moves: abc.Mapping[str, Move] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRequest(messages.Message):
    """An instance with a lower revision asks one peer for its document.

    Attributes
    ----------
    sent_ms
        Sender's monotonic time.
    revision
        In force at the sender.
    """

    sent_ms: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationOffer(messages.Message):
    """A complete configuration document for a peer with a lower revision.

    Attributes
    ----------
    echo_sent_ms
        ``sent_ms`` of the request.
    confirmed_age_ms
        Age of the sender's confirmation of this revision when it sent this, or ``None``.
    """

    revision: int
    document: bytes
    echo_sent_ms: float | None = None
    confirmed_age_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPushed(events.Event):
    """An operator pushed a revision directly after the store had accepted it."""

    revision: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SentOffer:
    """The last offer to a peer."""

    revision: int
    sent_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """The last request for a document."""

    peer_id: str = ''
    sent_ms: float = _NEVER_MS


@dataclasses.dataclass
class StoreCalls:
    """This instance's calls to the store about the configuration.

    Attributes
    ----------
    next_number
        Makes the tags of calls unique.
    read_sent_ms
        When the last read was sent.
    watch_tag
        The running watch, or empty.
    failing_since_ms
        When the first of the successive failed reads was sent, or ``None`` after a success.
    failed_reads
        Successive failed reads.
    noticed_ms, resumed_ms
        Last event, and the end of the last gap between events, in which the process was paused.
    """

    last_call_number: int = 0
    read_sent_ms: float = _NEVER_MS
    watch_tag: str = ''
    failing_since_ms: float | None = None
    failed_reads: int = 0
    last_event_ms: float = _NEVER_MS
    resumed_ms: float = _NEVER_MS


@dataclasses.dataclass
class ConfigurationState:
    """What this instance knows of the configuration.

    Attributes
    ----------
    current
        The highest revision seen, or ``None`` before the first.
    document
        The bytes of ``current``, for peers.
    adopted_ms
        When ``current`` was put in force.
    confirmed_ms
        Last moment at which ``current`` was known to be the store's revision.
    attested_ms
        Last moment at which a witness knew that the store was down.
    store_reached_ms
        Last moment at which any instance is known to have reached the store.
    calls
        This instance's store calls.
    changed, changed_ms
        Record of the watch that a read has to confirm before it is put in force, and its arrival.
    offers
        Last offer to each peer.
    request
        Last request to a peer.
    reported_revision
        Revision of the store's record that was last reported as unusable, or -1.
    """

    current: Configuration | None = None
    document: bytes = b''
    adopted_ms: float = _NEVER_MS
    confirmed_ms: float = _NEVER_MS
    attested_ms: float = _NEVER_MS
    store_reached_ms: float = _NEVER_MS
    calls: StoreCalls = dataclasses.field(default_factory=StoreCalls)
    pending_record: events.StoreRecord | None = None
    pending_since_ms: float = _NEVER_MS
    offers: dict[str, SentOffer] = dataclasses.field(default_factory=dict)
    last_request: SentRequest = SentRequest()
    reported_revision: int = -1
