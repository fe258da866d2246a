"""Wait for callers to disconnect before the process exits."""

import functools
import typing
from collections import abc

from rhubarbspar.server import const


def call_when_disconnected(
    clock: typing.Any,
    count_connections: abc.Callable[[], int],
    function: abc.Callable[[], None],
) -> None:
    """Call a function once all callers have disconnected, or after ``CONNECTIONS_LINGER_S``.

    Parameters
    ----------
    clock
        Twisted reactor or clock.
    count_connections
        Returns the number of open connections.
    function
        Called exactly once.
    """
    end_s = clock.seconds() + const.CONNECTIONS_LINGER_S
    _poll(clock, count_connections, function, end_s)


def _poll(
    clock: typing.Any,
    count_connections: abc.Callable[[], int],
    function: abc.Callable[[], None],
    end_s: float,
) -> None:
    if not count_connections() or clock.seconds() >= end_s:
        function()
        return
    poll = functools.partial(_poll, clock, count_connections, function, end_s)
    clock.callLater(const.LINGER_POLL_S, poll)
