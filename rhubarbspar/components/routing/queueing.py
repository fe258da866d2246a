"""Short queue of work that waits for a slot, fair between client accounts."""

import collections
from collections import abc

from rhubarbspar.components.routing import models


def push(
    queue: models.ServiceQueue,
    routed: models.RoutedRequest,
    length_max: int,
) -> models.RoutedRequest | None:
    """Append work and return what had to be refused instead, if the queue was full.

    When it is full, the client account with the most waiting work loses its newest.
    """
    longest = _longest(queue)
    if queue.length < length_max:
        _append(queue, routed)
        return None
    if longest is None or _waiting(queue, routed.account_id) + 1 >= _waiting(queue, longest):
        return routed
    _append(queue, routed)
    return _drop_newest(queue, longest)


def pop(
    queue: models.ServiceQueue,
    may_run: abc.Callable[[models.RoutedRequest], bool],
) -> models.RoutedRequest | None:
    """Take the oldest runnable work of the next client account in turn."""
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
    queue: models.ServiceQueue,
    is_due: abc.Callable[[models.RoutedRequest], bool],
) -> list[models.RoutedRequest]:
    """Remove and return all work for which ``is_due`` holds."""
    removed: list[models.RoutedRequest] = []
    for account_id, waiting in list(queue.by_account.items()):
        due = [routed for routed in waiting if is_due(routed)]
        removed.extend(due)
        for routed in due:
            waiting.remove(routed)
        if not waiting:
            queue.by_account.pop(account_id)
    queue.length -= len(removed)
    return removed


def _append(queue: models.ServiceQueue, routed: models.RoutedRequest) -> None:
    queue.by_account.setdefault(routed.account_id, collections.deque()).append(routed)
    queue.length += 1


def _drop_newest(queue: models.ServiceQueue, account_id: str) -> models.RoutedRequest:
    waiting = queue.by_account[account_id]
    dropped = waiting.pop()
    queue.length -= 1
    if not waiting:
        queue.by_account.pop(account_id)
    return dropped


def _longest(queue: models.ServiceQueue) -> str | None:
    return max(queue.by_account, key=lambda account: _waiting(queue, account), default=None)


def _waiting(queue: models.ServiceQueue, account_id: str) -> int:
    return len(queue.by_account.get(account_id, ()))
