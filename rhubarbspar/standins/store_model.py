"""Contents of the key-value store: records, revisions, leases and history."""

import collections
import dataclasses
import itertools
import typing
from collections import abc

from rhubarbspar.standins import const
from rhubarbspar.standins import errors

KeyRange: typing.TypeAlias = tuple[bytes, bytes]
NO_END = b'\x00'


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record, or its deletion if ``version`` is 0."""

    key: bytes
    body: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease and the keys bound to it."""

    lease_id: int
    ttl_s: int
    ends_s: float
    keys: set[bytes] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write a record."""

    key: bytes
    body: bytes
    lease_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Delete the records of a range."""

    keys: KeyRange


class Database:
    """All records; ``now_s`` is the time of the store's clock in seconds."""

    def __init__(self, history_length: int = const.STORE_HISTORY_LENGTH) -> None:
        """Start empty at revision 1, as etcd does."""
        self.revision = 1
        self.compacted_revision = 0
        self._records: dict[bytes, Record] = {}
        self._leases: dict[int, Lease] = {}
        self._history: collections.deque[Record] = collections.deque()
        self._history_length = history_length
        self._lease_ids = itertools.count(1)

    def read(self, keys: KeyRange) -> list[Record]:
        """Return the records of a range in the order of their keys."""
        start, end = keys
        if not end:
            found = self._records.get(start)
            return [] if found is None else [found]
        return [self._records[key] for key in sorted(self._records) if contains(keys, key)]

    def mod_revision(self, key: bytes) -> int:
        """Return the revision of a key's last change, 0 if it is absent."""
        found = self._records.get(key)
        return 0 if found is None else found.mod_revision

    def write(self, operations: abc.Iterable[Put | Delete], now_s: float) -> list[Record]:
        """Apply operations atomically and return the changes.

        Raises
        ------
        errors.StoreCallError
            If a lease does not exist; nothing is written.
        """
        self.expire(now_s)
        listed = tuple(operations)
        for put in listed:
            if isinstance(put, Put) and put.lease_id:
                self._lease(put.lease_id)
        changes = [change for operation in listed for change in self._apply(operation)]
        self._record_history(changes)
        return changes

    def grant(self, ttl_s: int, now_s: float) -> Lease:
        """Create a lease."""
        lease = Lease(next(self._lease_ids), ttl_s, now_s + ttl_s)
        self._leases[lease.lease_id] = lease
        return lease

    def renew(self, lease_id: int, now_s: float) -> Lease | None:
        """Restart a lease's time to live; ``None`` if it has ended."""
        self.expire(now_s)
        lease = self._leases.get(lease_id)
        if lease is not None:
            lease.ends_s = now_s + lease.ttl_s
        return lease

    def revoke(self, lease_id: int) -> list[Record]:
        """End a lease and return the deletions."""
        lease = self._lease(lease_id)
        self._leases.pop(lease_id)
        changes: list[Record] = []
        for key in sorted(lease.keys):
            changes.extend(self._apply(Delete((key, b''))))
        self._record_history(changes)
        return changes

    def extend_leases(self, now_s: float) -> None:
        """Restart the time to live of all leases."""
        for lease in self._leases.values():
            lease.ends_s = now_s + lease.ttl_s

    def expire(self, now_s: float) -> None:
        """End all leases whose time to live has passed."""
        ended = [lease.lease_id for lease in self._leases.values() if lease.ends_s <= now_s]
        for lease_id in ended:
            self.revoke(lease_id)

    def changes_since(self, revision: int, keys: KeyRange) -> list[Record]:
        """Return the changes of a range from a revision on."""
        changed = itertools.takewhile(
            lambda record: record.mod_revision >= revision,
            reversed(self._history),
        )
        matching = [record for record in changed if contains(keys, record.key)]
        return list(reversed(matching))

    def _lease(self, lease_id: int) -> Lease:
        lease = self._leases.get(lease_id)
        if lease is None:
            raise errors.StoreCallError(
                const.HTTP_NOT_FOUND,
                const.GRPC_NOT_FOUND,
                'etcdserver: requested lease not found',
            )
        return lease

    def _apply(self, operation: Put | Delete) -> list[Record]:
        if isinstance(operation, Put):
            return [self._put(operation)]
        return [self._delete(record) for record in self.read(operation.keys)]

    def _put(self, put: Put) -> Record:
        revision = self.revision + 1
        previous = self._records.get(put.key)
        if previous is None:
            record = Record(put.key, put.body, revision, revision, 1, put.lease_id)
        else:
            self._unbind(previous)
            record = dataclasses.replace(
                previous,
                body=put.body,
                mod_revision=revision,
                version=previous.version + 1,
                lease_id=put.lease_id,
            )
        if put.lease_id:
            self._lease(put.lease_id).keys.add(put.key)
        self._records[put.key] = record
        return record

    def _delete(self, record: Record) -> Record:
        self._unbind(record)
        self._records.pop(record.key)
        return Record(record.key, b'', 0, self.revision + 1, 0, 0)

    def _unbind(self, record: Record) -> None:
        lease = self._leases.get(record.lease_id)
        if lease is not None:
            lease.keys.discard(record.key)

    def _record_history(self, changes: list[Record]) -> None:
        if not changes:
            return
        self.revision += 1
        self._history.extend(changes)
        while len(self._history) > self._history_length:
            # Other changes of this revision that are still kept count as compacted too.
            self.compacted_revision = self._history.popleft().mod_revision


def contains(keys: KeyRange, key: bytes) -> bool:
    """Return whether a range contains a key."""
    start, end = keys
    if not end:
        return key == start
    return key >= start and (end == NO_END or key < end)
