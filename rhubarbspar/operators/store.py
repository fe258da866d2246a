"""Interface of the platform's store that the commands use."""

import dataclasses
import typing

from rhubarbspar.core import effects
from rhubarbspar.core import events


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Records to write atomically if every comparison holds."""

    compares: tuple[effects.StoreCompare, ...]
    puts: tuple[effects.StorePut, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionResult:
    """Outcome of a transaction.

    Attributes
    ----------
    succeeded
        Whether the comparisons held and everything was written.
    revision
        Store revision of the response; if the transaction succeeded, that of the written records.
    """

    succeeded: bool
    revision: int


class Store(typing.Protocol):
    """A key-value store; reads are linearizable.

    Every method raises ``errors.StoreUnavailableError`` if the request did not reach the store,
    ``errors.StoreAnswerLostError`` if it may have taken effect without a valid response, and
    ``errors.StoreProtocolError`` if the store rejected it.
    """

    def get(self, key: str) -> events.StoreRecord:
        """Read one record; its revision is 0 if the key is absent."""

    def list_prefix(self, prefix: str) -> tuple[events.StoreRecord, ...]:
        """Read all records whose key starts with a prefix, sorted by key."""

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Write the records of a transaction if all its comparisons hold."""

    def grant_lease(self, ttl_s: int) -> str:
        """Grant a lease with a time to live in seconds and return its id."""
