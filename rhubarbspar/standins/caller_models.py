"""Settings, results and summary of a caller."""

import collections
import dataclasses
import enum
import typing

from hdrh import histogram

from rhubarbspar.standins import const


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """What a caller sends.

    Attributes
    ----------
    entry_urls
        Entry instances that are asked for look-ups, ``http://ADDRESS:PORT`` each.
    service
        Service that is called.
    access_key
        Sent as ``Authorization: Bearer``; empty to send none.
    rate_per_s
        Requests started per second, whether earlier ones are answered or not.
    post_share
        Share of non-idempotent requests.
    get_path, post_path
        Paths below the service.
    timeout_ms
        Deadline of each attempt; the caller waits a little longer for the refusal.
    size_bytes
        Size of the payload that the backend server is asked for.
    crash_share
        Share of the requests that crash the backend server.
    """

    entry_urls: tuple[str, ...]
    service: str
    access_key: str = ''
    rate_per_s: float = 10.0
    post_share: float = 0.0
    get_path: str = '/'
    post_path: str = '/orders'
    timeout_ms: float = 2000.0
    size_bytes: int = 200
    crash_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An instance of a look-up answer."""

    instance_id: str
    url: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """A look-up answer that may be used until ``expires_ms``."""

    instances: tuple[Instance, ...]
    idempotency_key_prefix: str
    expires_ms: float


class Verdict(enum.StrEnum):
    """How a request ended for its caller.

    Attributes
    ----------
    ANSWERED
        Whole and correct answer with a status below 500.
    FAILED
        Whole and correct answer of a backend server with status 500 or above.
    LOST
        No answer to an idempotent request.
    MIXED_UP
        Answer to another request.
    REFUSED
        Refused as not run by every instance tried.
    TRUNCATED
        Incomplete or damaged answer.
    UNKNOWN
        No answer to a non-idempotent request, or refused with unknown outcome.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    LOST = 'lost'
    MIXED_UP = 'mixed_up'
    REFUSED = 'refused'
    TRUNCATED = 'truncated'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """One answer, refusal or lost connection.

    Attributes
    ----------
    reason
        Of a refusal or lost connection.
    temporary
        Another instance may accept the request.
    """

    verdict: Verdict
    reason: str = ''
    temporary: bool = False


class Summary:
    """Counts results."""

    def __init__(self) -> None:
        """Start empty."""
        self.lookups = 0
        self.lookups_failed = 0
        self.repeats: collections.Counter[str] = collections.Counter()
        self.started = 0
        self.tokens: dict[Verdict, list[str]] = {verdict: [] for verdict in Verdict}
        self._latencies_us = histogram.HdrHistogram(1, const.LATENCY_MAX_US, const.LATENCY_DIGITS)
        self._refused: collections.Counter[str] = collections.Counter()

    def record(self, token: str, outcome: Result, latency_ms: float) -> None:
        """Count the final result of a request."""
        self.tokens[outcome.verdict].append(token)
        if outcome.verdict == Verdict.REFUSED:
            self._refused[outcome.reason] += 1
        if outcome.verdict == Verdict.ANSWERED:
            self._latencies_us.record_value(max(1, int(latency_ms * const.US_PER_MS)))

    def document(self) -> dict[str, typing.Any]:
        """Return all counts and the latency percentiles of answered requests."""
        counts = {str(verdict): len(tokens) for verdict, tokens in self.tokens.items()}
        counts.pop(str(Verdict.REFUSED))
        return {
            'started': self.started,
            **counts,
            'refused': dict(self._refused),
            'repeats': dict(self.repeats),
            'lookups': self.lookups,
            'lookups_failed': self.lookups_failed,
            'latency_ms': {
                f'p{percentile}': self._percentile_ms(percentile)
                for percentile in const.LATENCY_PERCENTILES
            },
        }

    def _percentile_ms(self, percentile: float) -> float:
        if not self._latencies_us.get_total_count():
            return 0.0
        latency_us: int = self._latencies_us.get_value_at_percentile(percentile)
        return latency_us / const.US_PER_MS
