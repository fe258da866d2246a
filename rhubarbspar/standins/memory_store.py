"""In-memory key-value store with leases and compare-and-swap, for tests and benchmarks."""

import collections
import dataclasses
from collections import abc

from rhubarbspar.core import effects
from rhubarbspar.core import events

SUCCEEDED = events.StoreOutcome.SUCCEEDED
CONFLICTED = events.StoreOutcome.CONFLICTED
FAILED = events.StoreOutcome.FAILED


@dataclasses.dataclass(frozen=True)
class Result:
    """The part of an answer that the store decides."""

    outcome: events.StoreOutcome
    records: tuple[events.StoreRecord, ...] = ()
    lease_id: str | None = None


@dataclasses.dataclass
class Lease:
    """A store lease."""

    holder_id: str
    ttl_ms: float
    ends_ms: float


class MemoryStore:
    """A key-value store with leases and compare-and-swap."""

    def __init__(self) -> None:
        """Start empty and reachable."""
        self.down_since_ms: float | None = None
        self.leases: dict[str, Lease] = {}
        self.records: dict[str, tuple[bytes, int, str | None]] = {}
        self.revision = 1
        self.calls = 0
        self.calls_by_component: collections.Counter[str] = collections.Counter()

    def expire(self, now_ms: float) -> None:
        """Delete ended leases with their records."""
        for lease_id, lease in tuple(self.leases.items()):
            if lease.ends_ms <= now_ms:
                self.leases.pop(lease_id)
                self._drop(lease_id)

    def expire_early(self, holder_id: str) -> None:
        """End the leases of an instance at once."""
        for lease in self.leases.values():
            if lease.holder_id == holder_id:
                lease.ends_ms = float('-inf')

    def call(self, effect: effects.Effect, holder_id: str, now_ms: float) -> Result:
        """Carry out a call."""
        self.calls += 1
        self.calls_by_component[getattr(effect, 'tag', '').partition('/')[0]] += 1
        self.expire(now_ms)
        match effect:
            case effects.LeaseGrant(_, ttl_ms):
                lease_id = f'lease-{self.calls}'
                self.leases[lease_id] = Lease(holder_id, ttl_ms, now_ms + ttl_ms)
                return Result(SUCCEEDED, lease_id=lease_id)
            case effects.LeaseRenew(_, lease_id):
                return self._renew(lease_id, now_ms)
            case effects.StoreGet(_, key, prefix):
                found = [name for name in sorted(self.records) if name.startswith(key)]
                keys = found if prefix else [key]
                return Result(SUCCEEDED, self._read(keys))
            case effects.StoreTransaction():
                return self._transact(effect)
        return Result(FAILED)

    def _renew(self, lease_id: str, now_ms: float) -> Result:
        lease = self.leases.get(lease_id)
        if lease is None:
            return Result(CONFLICTED)
        lease.ends_ms = now_ms + lease.ttl_ms
        return Result(SUCCEEDED, lease_id=lease_id)

    def _transact(self, transaction: effects.StoreTransaction) -> Result:
        if any(put.lease_id not in {None, *self.leases} for put in transaction.puts):
            return Result(FAILED)
        compared = [compare.key for compare in transaction.compares]
        if any(self._revision(item.key) != item.revision for item in transaction.compares):
            return Result(CONFLICTED, self._read(compared))
        self.revision += 1
        for put in transaction.puts:
            self.records[put.key] = (put.value, self.revision, put.lease_id)
        for key in transaction.deletes:
            self.records.pop(key, None)
        return Result(SUCCEEDED)

    def _read(self, keys: abc.Iterable[str]) -> tuple[events.StoreRecord, ...]:
        present = [(key, *self.records[key][:2]) for key in keys if key in self.records]
        return tuple(events.StoreRecord(*fields) for fields in present)

    def _revision(self, key: str) -> int:
        return self.records[key][1] if key in self.records else 0

    def _drop(self, lease_id: str) -> None:
        bound = [key for key, record in self.records.items() if record[2] == lease_id]
        for key in bound:
            self.records.pop(key)
        self.revision += bool(bound)
