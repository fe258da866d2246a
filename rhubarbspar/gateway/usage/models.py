"""Data classes of the usage reports; a window is a span of true time with a number."""

import dataclasses
import typing
from collections import abc

NO_WINDOW: typing.Final = -1


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSettings:
    """What the deployment demands of the reports.

    Attributes
    ----------
    api_address
        ``host:port`` of the platform's API.
    window_ms
        Length of a window.
    late_ms
        Time after the end of a window at which its report is due.
    lease_ms
        Time without a renewal after which another instance may take the duty.
    calls_per_s
        Calls that the platform accepts from all instances together.
    """

    api_address: str
    window_ms: float
    late_ms: float
    lease_ms: float
    calls_per_s: float

    def window_at(self, unix_ms: float) -> int:
        """Return the window that contains a time."""
        return int(unix_ms // self.window_ms)

    def end_unix_ms(self, window_id: int) -> float:
        """Return when a window ends."""
        return (window_id + 1) * self.window_ms


@dataclasses.dataclass(frozen=True, slots=True)
class AccountCount:
    """Requests of a client account that began to run in a window."""

    account_id: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class WindowCounts:
    """Counts of a window that the holder has decided to report; they never change again."""

    window_id: int
    counts: tuple[AccountCount, ...]

    @property
    def total(self) -> int:
        """Return the requests of all accounts."""
        return sum(each.count for each in self.counts)


@dataclasses.dataclass(frozen=True, slots=True)
class DutyRecord:
    """Record of the store that says which instance reports.

    Attributes
    ----------
    token
        Fencing token; rises with each change of the holder.
    next_window
        First window whose report the platform has not confirmed.
    sequence
        Number of renewals, so that each renewal changes the record.
    lease_ends_unix_ms
        When the lease ends by the clock of the holder; for operators only.
    era
        Number of restores of the store when the record was written.
    revision
        Revision of the record in the store; 0 if it is not known.
    """

    holder_id: str
    incarnation: str
    token: int
    next_window: int
    sequence: int = 0
    lease_ends_unix_ms: int = 0
    era: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DutyStatus:
    """What the fleet knows of the duty.

    Attributes
    ----------
    attempted_window
        Last window of which a report may have been sent.
    """

    holder_id: str = ''
    token: int = 0
    next_window: int = NO_WINDOW
    attempted_window: int = NO_WINDOW

    def merge(self, other: 'DutyStatus') -> 'DutyStatus':
        """Return the newest of what two instances know."""
        newer = other if other.token > self.token else self
        return DutyStatus(
            newer.holder_id,
            newer.token,
            max(self.next_window, other.next_window),
            max(self.attempted_window, other.attempted_window),
        )


def sorted_counts(counts: abc.Mapping[str, int]) -> tuple[AccountCount, ...]:
    """Return the positive counts in the order of the accounts."""
    return tuple(
        AccountCount(account_id, count) for account_id, count in sorted(counts.items()) if count > 0
    )
