"""The configuration as operators declare it, and the state of its distribution and freshness."""

import dataclasses
import enum
import typing
from collections import abc

from rhubarbspar.core import events
from rhubarbspar.core import messages

_NEVER_MS: typing.Final = float('-inf')


class MoveKind(enum.StrEnum):
    """What a move shifts: traffic to a new version, or away from what is being drained."""

    DRAIN = 'drain'
    VERSION = 'version'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The rules for a service's requests under a path prefix.

    Attributes
    ----------
    path_prefix
        Starts with ``/``; the longest matching prefix wins.
    methods
        Upper-case HTTP methods.
    idempotent
        Whether a request may run more than once.
    open_to_all
        Whether no access key is needed.
    timeout_ms
        Maximum duration of a request.
    """

    path_prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    open_to_all: bool
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A server that runs one version of a service.

    Attributes
    ----------
    slots
        Maximum number of concurrent requests.
    leaving
        Whether it gets no new requests because operators are removing it.
    """

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
    """A client account with its rate limit and burst, which all instances share."""

    account_id: str
    rate_per_s: float
    burst_requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class AccessKey:
    """An access key, stored as the SHA-256 digest of its text (lower-case hexadecimal)."""

    key_digest: str
    account_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailureDomain:
    """A failure domain and its region."""

    failure_domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """The bit rate that traffic from one region to another may use."""

    source_region: str
    target_region: str
    rate_bits_per_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClientBlock:
    """A network of client addresses and the region nearest to it."""

    network: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A planned, gradual shift of traffic.

    Attributes
    ----------
    target
        The new version for ``VERSION``; a backend server, failure domain or instance for ``DRAIN``.
    service_id, old_version
        Set for ``VERSION``.
    deadline_unix_s
        Unix time by which the move has to be finished.
    cap_share
        Maximum share of the service's requests that one step may shift, 0 to 1.
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
    """One revision of the configuration.

    ``revision`` is the store revision of the document; instances never go back to a lower one.
    """

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
    """A request to a peer with a higher revision for its document.

    Attributes
    ----------
    sent_ms
        Sender's monotonic time.
    revision
        The sender's current revision.
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
        Age of the sender's confirmation of this revision when it sent the offer, or ``None``.
    """

    revision: int
    document: bytes
    echo_sent_ms: float | None = None
    confirmed_age_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPushed(events.Event):
    """A revision that an operator pushed to this instance right after the store accepted it."""

    revision: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SentOffer:
    """The last document sent to a peer: its revision and when it was sent."""

    revision: int
    sent_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """The last request for a document: to which peer and when it was sent."""

    peer_id: str = ''
    sent_ms: float = _NEVER_MS


@dataclasses.dataclass
class StoreCalls:
    """This instance's calls to the store about the configuration.

    Attributes
    ----------
    last_call_number
        Number in the tag of the last call.
    read_sent_ms
        When the last read was sent.
    watch_tag
        Tag of the running watch, or empty.
    failing_since_ms
        When the first of the consecutive failed reads was sent, or ``None`` after a success.
    failed_reads
        Number of consecutive failed reads.
    last_event_ms
        When the last event was handled.
    resumed_ms
        When the first event after the last pause of the process was handled.
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
    """The current configuration of this instance and what it knows of the store.

    Attributes
    ----------
    current
        The configuration with the highest revision seen, or ``None`` before the first.
    document
        The document of ``current``, for peers.
    adopted_ms
        When ``current`` was adopted.
    confirmed_ms
        Last time at which ``current`` was known to be the store's revision.
    attested_ms
        Last time at which an instance in the store's failure domain attested that the store was
        down.
    store_reached_ms
        Last time at which any instance is known to have reached the store.
    calls
        This instance's store calls.
    pending_record, pending_since_ms
        Changed record from the watch, which is adopted once a read has confirmed it, and when it
        arrived.
    offers
        Last document sent to each peer.
    last_request
        Last request for a document.
    reported_revision
        Revision of the store's record that was last logged as unusable, or -1.
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
