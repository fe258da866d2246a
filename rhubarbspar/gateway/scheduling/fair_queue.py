"""Queue of the requests that wait for a group of servers.

Patterns: strict priority between urgencies; start-time fair queueing between the accounts of one
urgency (Goyal, Vin and Cheng, 1996); earliest deadline first within an account. Start tags need
no rate of the server, which is unknown here and changes.
"""

import bisect
import collections
import dataclasses
import itertools
import operator
from collections import abc

from rhubarbspar.gateway.scheduling import models

_by_deadline = operator.attrgetter('due_ms')


@dataclasses.dataclass(slots=True)
class _AccountQueue:
    """Waiting requests of an account, earliest deadline first, and the tag of its next one."""

    start_tag_ms: float
    requests: list[models.WaitingRequest] = dataclasses.field(default_factory=list)


class _UrgencyQueue:
    """Waiting requests of one urgency, by account."""

    def __init__(self) -> None:
        self.accounts: dict[str, _AccountQueue] = {}
        self._virtual_ms = 0.0

    def push(self, waiting: models.WaitingRequest) -> None:
        """Add a request; an account that had none waiting starts at the virtual time."""
        account = self.accounts.get(waiting.account_id)
        if account is None:
            account = _AccountQueue(self._virtual_ms)
            self.accounts[waiting.account_id] = account
        elif not account.requests:
            account.start_tag_ms = max(account.start_tag_ms, self._virtual_ms)
        bisect.insort(account.requests, waiting, key=_by_deadline)

    def head(self) -> models.WaitingRequest:
        """Return the request to send next."""
        return self._next_account().requests[0]

    def charge(self, sent: models.WaitingRequest) -> None:
        """Charge the account of a request that is sent with its processing time."""
        account = self.accounts[sent.account_id]
        self._virtual_ms = max(self._virtual_ms, account.start_tag_ms)
        account.start_tag_ms += sent.cost_ms

    def remove(self, waiting: models.WaitingRequest) -> None:
        """Remove a request; forgets accounts without requests whose tag has been passed."""
        self.accounts[waiting.account_id].requests.remove(waiting)
        self.accounts = {
            account_id: account
            for account_id, account in self.accounts.items()
            if account.requests or account.start_tag_ms > self._virtual_ms
        }

    def accounts_waiting(self) -> int:
        """Return the number of accounts with waiting requests."""
        return sum(bool(account.requests) for account in self.accounts.values())

    def waiting_of(self, account_id: str) -> int:
        """Return how many requests of an account wait."""
        account = self.accounts.get(account_id)
        return 0 if account is None else len(account.requests)

    def longest(self) -> models.WaitingRequest:
        """Return the last request of the account with the most waiting ones."""
        return max(self.accounts.values(), key=_queue_length).requests[-1]

    def _next_account(self) -> _AccountQueue:
        waiting = (account for account in self.accounts.values() if account.requests)
        return min(waiting, key=operator.attrgetter('start_tag_ms'))


def _queue_length(account: _AccountQueue) -> int:
    return len(account.requests)


class FairQueue:
    """Requests that wait for the same servers."""

    def __init__(self) -> None:
        """Start without requests."""
        self._requests: dict[int, models.WaitingRequest] = {}
        self._levels: dict[int, _UrgencyQueue] = {}
        self._counts: collections.Counter[int] = collections.Counter()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def push(self, waiting: models.WaitingRequest) -> None:
        """Add a request."""
        self._requests[waiting.request_number] = waiting
        self._counts[waiting.urgency] += 1
        self._levels.setdefault(waiting.urgency, _UrgencyQueue()).push(waiting)

    def remove(self, request_number: int, *, is_sent: bool = False) -> models.WaitingRequest | None:
        """Remove a request; return it, or ``None`` if it does not wait here.

        Parameters
        ----------
        is_sent
            Whether it is sent to a server, so that its account is charged.
        """
        waiting = self._requests.pop(request_number, None)
        if waiting is None:
            return None
        level = self._levels[waiting.urgency]
        if is_sent:
            level.charge(waiting)
        level.remove(waiting)
        self._counts[waiting.urgency] -= 1
        if not self._requests:
            self._levels.clear()
        return waiting

    def head(self) -> models.WaitingRequest | None:
        """Return the request to send next, or ``None`` without one."""
        if not self._requests:
            return None
        return self._levels[min(self._urgencies())].head()

    def due(self, now_ms: float) -> list[models.WaitingRequest]:
        """Return the requests that can only be in time if they are sent now."""
        return [waiting for waiting in self._requests.values() if waiting.latest_ms <= now_ms]

    def count_ahead(self, urgency: int, account_id: str) -> int:
        """Return how many waiting requests would be sent before a new one of an account."""
        ahead = sum(self._counts[level] for level in self._urgencies() if level < urgency)
        level = self._levels.get(urgency)
        if level is None or not self._counts[urgency]:
            return ahead
        own_count = level.waiting_of(account_id)
        is_new = not own_count
        rounds = (own_count + 1) * (level.accounts_waiting() + is_new) - 1
        return ahead + min(self._counts[urgency], rounds)

    def last(self) -> models.WaitingRequest:
        """Return the request to give up first: of the least urgent, the account with the most.

        Raises
        ------
        ValueError
            No request waits.
        """
        return self._levels[max(self._urgencies())].longest()

    def __iter__(self) -> abc.Iterator[models.WaitingRequest]:
        """Iterate over the waiting requests, in the order of their arrival."""
        return itertools.chain(self._requests.values())

    def _urgencies(self) -> list[int]:
        return [urgency for urgency, count in self._counts.items() if count]
