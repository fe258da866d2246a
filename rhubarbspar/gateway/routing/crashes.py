"""Detection of requests that crash the backend servers that run them.

Pattern: poison message detection. A server has crashed if it breaks the connection of a request and
is unreachable shortly afterwards, or registers as a new process some seconds later. To the instance
that finds it unreachable, lost links look the same, so a server that is heard again has not crashed.
A request that was running at two crashed servers is refused.
"""

import dataclasses
import typing
from collections import abc

# A request that was running at this many crashed servers is refused.
CRASHED_SERVERS_MIN: typing.Final = 2
# A broken connection counts as a crash if its server is found unreachable within this time.
CONFIRMATION_MS: typing.Final = 1500
# It also does if the registration of the server shows within this time that its process has ended.
SUSPICION_MS: typing.Final = 15_000
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


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A server crashed while it ran a request."""

    fingerprint: str
    incarnation: str
    crashed_ms: float


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
        Broken connections by the incarnation of the server, until its crash is confirmed.
    checked_ids
        Servers that are being checked after a broken connection.
    crashes
        Crashes by fingerprint, those reported by peers included.
    """

    broken_attempts: dict[str, list[_BrokenAttempt]] = dataclasses.field(default_factory=dict)
    checked_ids: set[str] = dataclasses.field(default_factory=set)
    crashes: dict[str, _Crashes] = dataclasses.field(default_factory=dict)

    def record_broken_attempt(self, fingerprint: str, incarnation: str, now_ms: float) -> None:
        """Record that a server broke the connection of a request."""
        self._forget_old_attempts(now_ms)
        attempts = self.broken_attempts.setdefault(incarnation, [])
        attempts.append(_BrokenAttempt(fingerprint, now_ms))

    def confirm_crash(self, incarnation: str, since_ms: float, now_ms: float) -> tuple[Crash, ...]:
        """Record that a server has crashed.

        Parameters
        ----------
        since_ms
            Connections that broke earlier did so for other reasons.

        Returns
        -------
        tuple of Crash
            The requests that were running at the server.
        """
        found = tuple(
            Crash(attempt.fingerprint, incarnation, attempt.broken_ms)
            for attempt in self.broken_attempts.pop(incarnation, ())
            if attempt.broken_ms >= since_ms
        )
        for crash in found:
            self.record_crash(crash, now_ms)
        return found

    def record_crash(self, crash: Crash, now_ms: float) -> bool:
        """Record a crash that this instance or a peer has detected; return whether it is news."""
        request_crashes = self.crashes.setdefault(crash.fingerprint, _Crashes(now_ms))
        if crash.incarnation in request_crashes.crashed_ms:
            return False
        request_crashes.last_seen_ms = max(request_crashes.last_seen_ms, crash.crashed_ms)
        request_crashes.crashed_ms[crash.incarnation] = crash.crashed_ms
        while len(self.crashes) > FINGERPRINTS_MAX:
            self.crashes.pop(next(iter(self.crashes)))
        return True

    def recent_crashes(self, now_ms: float) -> list[Crash]:
        """Return the crashes that have not expired."""
        return [
            Crash(fingerprint, incarnation, crashed_ms)
            for fingerprint, request_crashes in self.crashes.items()
            if now_ms - request_crashes.last_seen_ms <= CRASHES_KEPT_MS
            for incarnation, crashed_ms in request_crashes.crashed_ms.items()
        ]

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

    def _forget_old_attempts(self, now_ms: float) -> None:
        """Forget broken connections that are too old for any confirmation."""
        for incarnation, attempts in tuple(self.broken_attempts.items()):
            if now_ms - attempts[-1].broken_ms > SUSPICION_MS:
                self.broken_attempts.pop(incarnation)
