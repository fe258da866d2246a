"""Bounded queue of requests that wait for a slot, in round-robin order of client accounts."""

import collections
from collections import abc

from rhubarbspar.components.routing import models


def push(
    queue: models.VersionQueue,
    routed: models.RoutedRequest,
    length_max: int,
) -> models.RoutedRequest | None:
    """Append a request; return the one that has to be refused if the queue is full.

    That is the newest request of the client account with the most queued ones.
    """
    longest_id = _longest_account_id(queue)
    if queue.length < length_max:
        _append(queue, routed)
        return None
    if longest_id is None or _length(queue, routed.account_id) + 1 >= _length(queue, longest_id):
        return routed
    _append(queue, routed)
    return _drop_newest(queue, longest_id)


def pop(
    queue: models.VersionQueue,
    may_run: abc.Callable[[models.RoutedRequest], bool],
) -> models.RoutedRequest | None:
    """Remove and return the oldest request that may run of the next client account in turn."""
    for account_id in list(queue.by_account):
        waiting = queue.by_account.pop(account_id)
        found = next((routed for routed in waiting if may_run(routed)), None)
        if found is not None:
            waiting.remove(found)
            queue.length -= 1
        if waiting:
            queue.by_account[account_id] = waiting
        if found is not None:
            return found
    return None


def remove(
    queue: models.VersionQueue,
    matches: abc.Callable[[models.RoutedRequest], bool],
) -> list[models.RoutedRequest]:
    """Remove and return all requests for which ``matches`` is true."""
    removed: list[models.RoutedRequest] = []
    for account_id, waiting in list(queue.by_account.items()):
        matching = [routed for routed in waiting if matches(routed)]
        removed.extend(matching)
        for routed in matching:
            waiting.remove(routed)
        if not waiting:
            queue.by_account.pop(account_id)
    queue.length -= len(removed)
    return removed


def _append(queue: models.VersionQueue, routed: models.RoutedRequest) -> None:
    queue.by_account.setdefault(routed.account_id, collections.deque()).append(routed)
    queue.length += 1


def _drop_newest(queue: models.VersionQueue, account_id: str) -> models.RoutedRequest:
    waiting = queue.by_account[account_id]
    dropped = waiting.pop()
    queue.length -= 1
    if not waiting:
        queue.by_account.pop(account_id)
    return dropped


def _longest_account_id(queue: models.VersionQueue) -> str | None:
    return max(queue.by_account, key=lambda account: _length(queue, account), default=None)


def _length(queue: models.VersionQueue, account_id: str) -> int:
    return len(queue.by_account.get(account_id, ()))
