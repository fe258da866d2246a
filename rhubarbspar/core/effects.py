"""Effects shared by several components.

An effect is a value that describes an action. The reducer returns effects; the daemon performs
them.
"""

import dataclasses
import typing

from rhubarbspar.core import events
from rhubarbspar.core import messages
from rhubarbspar.core import models

FieldValue: typing.TypeAlias = str | int | float | bool | None
LogFields: typing.TypeAlias = tuple[tuple[str, FieldValue], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base of all effects: an action that the reducer asks the daemon to perform."""


@dataclasses.dataclass(frozen=True, slots=True)
class Emit(Effect):
    """Feed an event back into the core reducer before it returns; the daemon never sees it."""

    event: events.Event


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage(Effect):
    """Send a message to one peer; the message is dropped if the peer is not connected."""

    peer_id: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Multicast(Effect):
    """Send a message to several peers; it is dropped for those that are not connected."""

    peer_ids: tuple[str, ...]
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Broadcast(Effect):
    """Send a message to every connected peer."""

    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class DialPeer(Effect):
    """Open a connection to a peer and close any previous one."""

    peer_id: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClosePeer(Effect):
    """Close the connection to a peer."""

    peer_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Log(Effect):
    """Write one log line: the name of the log event and its fields."""

    name: str
    fields: LogFields = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Count(Effect):
    """Add one to the counter ``metric``, labelled with ``reason``."""

    metric: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCompare:
    """Precondition of a transaction: the store revision of a key's last change.

    Revision 0 requires that the key does not exist.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StorePut:
    """Write a key in a transaction; the key is attached to a lease if ``lease_id`` is set."""

    key: str
    value: bytes
    lease_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreTransaction(Effect):
    """Write and delete keys atomically if all comparisons hold.

    ``tag`` is returned in the ``StoreAnswered`` event of the call.
    """

    tag: str
    compares: tuple[StoreCompare, ...]
    puts: tuple[StorePut, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoreGet(Effect):
    """Read one key, or all keys that start with ``key`` if ``prefix`` is true."""

    tag: str
    key: str
    prefix: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWatch(Effect):
    """Watch one key, or all keys that start with ``key`` if ``prefix`` is true.

    Each change is delivered as ``StoreChanged``. The end of the watch is a failed
    ``StoreAnswered``.
    """

    tag: str
    key: str
    prefix: bool
    start_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnwatch(Effect):
    """Cancel the watch that was started with this tag."""

    tag: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant(Effect):
    """Ask the store for a lease with a time to live of ``ttl_ms``."""

    tag: str
    ttl_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenew(Effect):
    """Renew a lease; the outcome ``CONFLICTED`` means that the lease no longer exists."""

    tag: str
    lease_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt(Effect):
    """Send a request to a backend server; its end is reported by ``AttemptFinished``."""

    attempt_id: str
    server_id: str
    address: str
    request: models.Request


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt(Effect):
    """Abort an attempt by closing its connection; no ``AttemptFinished`` follows."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Respond(Effect):
    """Send the outcome of a request to its caller."""

    request_id: str
    outcome: models.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class LookupInstance:
    """One instance in the answer to a lookup: a place where the caller may send its requests."""

    instance_id: str
    address: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLookup(Effect):
    """Answer a lookup with instances, or refuse it if ``refused_reason`` is set."""

    lookup_id: str
    instances: tuple[LookupInstance, ...]
    ttl_ms: int
    idempotency_key_prefix: str | None
    refused_reason: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ExitProcess(Effect):
    """End the process as soon as the remaining responses are delivered."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopAccepting(Effect):
    """Accept no further connections from callers; open connections stay."""
