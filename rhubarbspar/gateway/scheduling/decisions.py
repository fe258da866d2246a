"""The decision whether a request is sent, waits in the instance, or is refused.

Pattern: admission by priority from the load that servers report (Zhou et al., "Overload control for
scaling WeChat microservices", 2018), with a queue in the instance for what is not admitted yet.
"""

import types
import typing

from rhubarbspar.gateway import const
from rhubarbspar.gateway.scheduling import models
from rhubarbspar.helpers import rendezvous

# An older report says nothing of the present load; requests are then sent as if there were room.
REPORT_AGE_MAX_MS: typing.Final = 3000
# Requests for each slot of a service from which on it is short of capacity. Below, a full server only
# means that the request suits another one less, for example because of what that one has cached.
SHORT_LOAD_PER_SLOT: typing.Final = 1.0
# Share of the servers that keep a slot for urgent requests. In the comparison of the design note,
# fewer made these late, and a slot of every server left audits 0.13 behind all requests.
KEEPING_SHARE: typing.Final = 0.4
# Below this number of slots, a kept one would be too large a part of the server.
KEPT_SLOT_MIN_SLOTS: typing.Final = 2
# At the last time to send it, a request of a kind that is starved also joins a queue of this many
# requests for each slot. Others do not: at 1.5 times the capacity that took 0.06 of all value.
LAST_QUEUE_PER_SLOT: typing.Final = 1 / 3
# A request is sent while this many times its expected processing time is left, since times vary and
# reports are old. At 1.5, servers worked on more requests that came late: 0.78 of all requests were
# served at 1.5 times the capacity, and 0.80 at this factor.
LATEST_TIME_FACTOR: typing.Final = 2.0
# A waiting request is examined with each tick.
LATEST_MARGIN_MS: typing.Final = 100
# Callers wait for up to this share of their remaining time before they retry.
RETRY_AFTER_SHARE_MAX: typing.Final = 1 / 3
RETRY_AFTER_MIN_MS: typing.Final = 50


def decide(
    candidate: models.Candidate,
    rank: models.Rank,
    due_ms: float,
    now_ms: float,
    *,
    is_starved: bool = False,
) -> models.Decision:
    """Decide about a request that yields to others of its service.

    Parameters
    ----------
    candidate
        The server that it would be sent to.
    due_ms
        Deadline of the response.
    is_starved
        Whether requests of its urgency are served much less often than others of the service.
    """
    if rank == models.Rank.FIRST or candidate.report_age_ms > REPORT_AGE_MAX_MS:
        return models.Send()
    load = candidate.load + 1
    if load <= candidate.slots - candidate.kept_slots:
        return models.Send()
    until_ms = latest_ms(candidate.processing_ms, due_ms)
    if now_ms < until_ms:
        return models.Wait(until_ms)
    load_max = candidate.slots * (1 + LAST_QUEUE_PER_SLOT * is_starved)
    is_in_time = now_ms + candidate.wait_ms + candidate.processing_ms <= due_ms
    if is_in_time and load <= load_max:
        return models.Send()
    return models.Refuse(REASONS[rank], retry_after_ms(candidate.processing_ms, due_ms, now_ms))


def kept_slots(server_id: str, slots: int) -> int:
    """Return the slots of a server that requests which yield leave free.

    The servers that keep one are the same for every instance, so that the slots are kept however
    many instances look for one.
    """
    if slots < KEPT_SLOT_MIN_SLOTS:
        return 0
    return int(rendezvous.hash_fraction(server_id) < KEEPING_SHARE)


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
