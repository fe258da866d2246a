"""The decision whether a request is sent, waits in the instance, or is refused.

Pattern: admission by priority from the load that servers report (Zhou et al., "Overload control for
scaling WeChat microservices", 2018), with a queue in the instance for what is not admitted yet.
"""

import types
import typing

from rhubarbspar.gateway import const
from rhubarbspar.gateway.scheduling import models

# An older report says nothing of the present load; requests are then sent as if there were room.
REPORT_AGE_MAX_MS: typing.Final = 3000
# A request that makes way only joins a server whose estimated load leaves a slot for it.
FREE_SLOTS_MIN: typing.Final = 1
# At the last time to send it, it also joins a queue of this many requests for each slot. More would
# take from the urgent requests what they gain.
LAST_QUEUE_PER_SLOT: typing.Final = 1 / 3
# A request is sent while this many times its expected processing time is left: a place in the queue
# above costs a third of it at three slots, and times vary.
LATEST_TIME_FACTOR: typing.Final = 1.5
# A waiting request is examined with each tick.
LATEST_MARGIN_MS: typing.Final = 100
# Callers wait for up to this share of their remaining time before they retry.
RETRY_AFTER_SHARE_MAX: typing.Final = 1 / 3
RETRY_AFTER_MIN_MS: typing.Final = 50


def decide(
    candidate: models.Candidate, rank: models.Rank, due_ms: float, now_ms: float
) -> models.Decision:
    """Decide about a request that makes way for others of its service.

    Parameters
    ----------
    candidate
        The server that it would be sent to.
    due_ms
        Deadline of the response.
    """
    if rank == models.Rank.FIRST or candidate.report_age_ms > REPORT_AGE_MAX_MS:
        return models.Send()
    if candidate.load + FREE_SLOTS_MIN <= candidate.slots:
        return models.Send()
    until_ms = latest_ms(candidate.processing_ms, due_ms)
    if now_ms < until_ms:
        return models.Wait(until_ms)
    queue_max = candidate.slots * (1 + LAST_QUEUE_PER_SLOT)
    is_in_time = now_ms + candidate.wait_ms + candidate.processing_ms <= due_ms
    if is_in_time and candidate.load + FREE_SLOTS_MIN <= queue_max:
        return models.Send()
    return models.Refuse(REASONS[rank], retry_after_ms(candidate.processing_ms, due_ms, now_ms))


def latest_ms(processing_ms: float, due_ms: float) -> float:
    """Return the last time at which a request can be sent and still be in time."""
    return due_ms - processing_ms * LATEST_TIME_FACTOR - LATEST_MARGIN_MS


def retry_after_ms(wait_ms: float, due_ms: float, now_ms: float) -> float:
    """Return a time to retry of which the caller can make use.

    Parameters
    ----------
    wait_ms
        Time after which capacity is expected.
    """
    usable_ms = (due_ms - now_ms) * RETRY_AFTER_SHARE_MAX
    return max(RETRY_AFTER_MIN_MS, min(wait_ms, usable_ms))


# Reason of a refusal by rank.
REASONS: typing.Final = types.MappingProxyType(
    {
        models.Rank.LESS_URGENT: const.REASON_LESS_URGENT,
        models.Rank.OVER_SHARE: const.REASON_OVER_SHARE,
    }
)
