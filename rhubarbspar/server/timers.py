"""A timer on the event loop itself."""

import asyncio
from collections import abc


def call_repeatedly(
    loop: asyncio.AbstractEventLoop,
    interval_s: float,
    function: abc.Callable[[], None],
) -> None:
    """Call a function at regular intervals for as long as the loop runs.

    It costs about half of Twisted's ``LoopingCall``, which makes a Deferred and a timer of the reactor for
    each call. Calls that a pause of the process has missed are left out.
    """
    _call(loop, interval_s, function, loop.time())


def _call(
    loop: asyncio.AbstractEventLoop,
    interval_s: float,
    function: abc.Callable[[], None],
    due_s: float,
) -> None:
    now_s = loop.time()
    next_s = due_s + interval_s
    if next_s <= now_s:
        next_s = now_s + interval_s
    # A call that fails must not be the last one.
    loop.call_at(next_s, _call, loop, interval_s, function, next_s)
    function()
