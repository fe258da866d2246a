"""Detection of requests that crash the backend servers that run them.

Pattern: poison message detection. A server has crashed if it breaks the connection of a request and
is unreachable shortly afterwards. To the instance that sees this, lost links look the same, so a
server that is heard again has not crashed. A request that was running at two crashed servers is
refused.
"""

import dataclasses
import typing
from collections import abc

# A request that was running at this many crashed servers is refused.
CRASHED_SERVERS_MIN: typing.Final = 2
# A broken connection counts as a crash if its server is found unreachable within this time.
CONFIRMATION_MS: typing.Final = 1500
# The crashes of a request expire this long after the last one.
CRASHES_KEPT_MS: typing.Final = 60_000
# A server has not crashed if it is heard by more than this long after its assumed crash. Reports of
# peers arrive late, so that an answer before the crash can seem to be one shortly after it.
HEARD_MARGIN_MS: typing.Final = 500
FINGERPRINTS_MAX: typing.Final = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokenAttempt:
    """A request whose connection a server broke, which is a sign of a crash."""

    fingerprint: str
    broken_ms: float


@dataclasses.dataclass(slots=True)
class _Crashes:
    """The incarnations of servers that crashed while they ran a request, and when each did."""

    last_seen_ms: float
    crashed_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class PoisonRequestDetector:
    """Crashes of backend servers, by the fingerprint of the request that was running.

    Attributes
    ----------
    broken_attempts
        Broken connections by the incarnation of the server, until the server is found unreachable.
    crashes
        Crashes by fingerprint, those reported by peers included.
    """

    broken_attempts: dict[str, list[_BrokenAttempt]] = dataclasses.field(default_factory=dict)
    crashes: dict[str, _Crashes] = dataclasses.field(default_factory=dict)

    def record_broken_attempt(self, fingerprint: str, incarnation: str, now_ms: float) -> None:
        """Record that a server broke the connection of a request."""
        recent = [
            attempt
            for attempt in self.broken_attempts.get(incarnation, ())
            if now_ms - attempt.broken_ms <= CONFIRMATION_MS
        ]
        recent.append(_BrokenAttempt(fingerprint, now_ms))
        self.broken_attempts[incarnation] = recent

    def confirm_crash(self, incarnation: str, now_ms: float) -> tuple[str, ...]:
        """Record that a server is unreachable.

        Returns
        -------
        tuple of str
            Fingerprints of the requests that were running at the server, for the peers.
        """
        recent = tuple(
            attempt.fingerprint
            for attempt in self.broken_attempts.pop(incarnation, ())
            if now_ms - attempt.broken_ms <= CONFIRMATION_MS
        )
        for fingerprint in recent:
            self.record_crash(fingerprint, incarnation, now_ms)
        return recent

    def record_crash(self, fingerprint: str, incarnation: str, now_ms: float) -> None:
        """Record a crash that this instance or a peer has detected."""
        request_crashes = self.crashes.setdefault(fingerprint, _Crashes(now_ms))
        request_crashes.last_seen_ms = now_ms
        request_crashes.crashed_ms[incarnation] = now_ms
        while len(self.crashes) > FINGERPRINTS_MAX:
            self.crashes.pop(next(iter(self.crashes)))

    def is_poison_request(
        self, fingerprint: str, now_ms: float, last_heard_ms: abc.Callable[[str], float]
    ) -> bool:
        """Return whether a request has recently crashed enough servers to be refused.

        Parameters
        ----------
        last_heard_ms
            Returns when an incarnation of a server has last answered any instance.
        """
        request_crashes = self.crashes.get(fingerprint)
        if request_crashes is None:
            return False
        if now_ms - request_crashes.last_seen_ms > CRASHES_KEPT_MS:
            self.crashes.pop(fingerprint)
            return False
        crashed = [
            incarnation
            for incarnation, crashed_ms in request_crashes.crashed_ms.items()
            if last_heard_ms(incarnation) <= crashed_ms + HEARD_MARGIN_MS
        ]
        return len(crashed) >= CRASHED_SERVERS_MIN
