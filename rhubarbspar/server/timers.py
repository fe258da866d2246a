"""Periodic calls on the asyncio event loop."""

import asyncio
from collections import abc


def call_repeatedly(
    loop: asyncio.AbstractEventLoop,
    interval_s: float,
    function: abc.Callable[[], None],
) -> None:
    """Call a function at regular intervals for as long as the loop runs.

    It costs about half of Twisted's ``LoopingCall``, which creates a Deferred and a reactor timer
    for each call. Calls missed during a pause of the process are skipped.
    """
    _call_and_reschedule(loop, interval_s, function, loop.time())


def _call_and_reschedule(
    loop: asyncio.AbstractEventLoop,
    interval_s: float,
    function: abc.Callable[[], None],
    due_s: float,
) -> None:
    now_s = loop.time()
    next_s = due_s + interval_s
    if next_s <= now_s:
        next_s = now_s + interval_s
    # Schedule the next call first, so that an exception does not end the timer.
    loop.call_at(next_s, _call_and_reschedule, loop, interval_s, function, next_s)
    function()
