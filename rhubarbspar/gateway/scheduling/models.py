"""Data classes of the scheduler: the inputs of a decision, and the decision."""

import dataclasses
import enum
import typing


class Rank(enum.IntEnum):
    """How far a request yields to the others of its service.

    Attributes
    ----------
    FIRST
        No more urgent request uses the service, and the account is within its share.
    LESS_URGENT
        More urgent requests use the service.
    OVER_SHARE
        The service is short, and the account is far above its max-min share of it.
    """

    FIRST = 0
    LESS_URGENT = 1
    OVER_SHARE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """What is known of the server that a request would be sent to.

    Attributes
    ----------
    load
        Estimated running and queued requests there.
    report_age_ms
        Age of the last load report; infinity without one.
    wait_ms
        Expected time in the queue of the server.
    processing_ms
        Expected round trip and processing time.
    kept_slots
        Slots that requests which yield leave free.
    """

    load: float
    slots: int
    report_age_ms: float
    wait_ms: float
    processing_ms: float
    kept_slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Keep the request in the instance; ``until_ms`` is the last time to send it."""

    until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request, which has not run.

    Attributes
    ----------
    retry_after_ms
        Time after which the caller may retry; at most a third of the time that the request has
        left, which is what callers honour.
    """

    reason: str
    retry_after_ms: float


Decision: typing.TypeAlias = Send | Wait | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request in the queue.

    Attributes
    ----------
    urgency
        0 is the most urgent.
    account_id
        Empty for a request without an account.
    cost_ms
        Expected processing time, which the account is charged with.
    due_ms
        Deadline of the response.
    latest_ms
        Last time at which the request can be sent and still be in time.
    size_bytes
        Memory that the request holds while it waits.
    """

    request_number: int
    urgency: int
    account_id: str
    cost_ms: float
    since_ms: float
    due_ms: float
    latest_ms: float
    size_bytes: int
