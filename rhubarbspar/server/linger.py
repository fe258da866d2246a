"""Wait for the callers' connections before the process exits."""

import functools
import typing
from collections import abc

from rhubarbspar.server import const


def call_when_disconnected(
    clock: typing.Any,
    connections: abc.Callable[[], int],
    function: abc.Callable[[], None],
) -> None:
    """Call a function once no connection is open, at the latest after ``CONNECTIONS_LINGER_S``.

    Parameters
    ----------
    clock
        Twisted reactor or clock.
    connections
        Returns the number of open connections.
    function
        What to call, once.
    """
    end_s = clock.seconds() + const.CONNECTIONS_LINGER_S
    _check(clock, connections, function, end_s)


def _check(
    clock: typing.Any,
    connections: abc.Callable[[], int],
    function: abc.Callable[[], None],
    end_s: float,
) -> None:
    if not connections() or clock.seconds() >= end_s:
        function()
        return
    again = functools.partial(_check, clock, connections, function, end_s)
    clock.callLater(const.LINGER_POLL_S, again)
