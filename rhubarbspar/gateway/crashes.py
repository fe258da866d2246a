"""Requests that crash the backend servers that run them.

Pattern: poison message detection. A request is suspected if it was under way at a server that broke the
connection and could not be reached right after; two such servers are evidence.
"""

import dataclasses
import typing

EVIDENCE_SERVERS: typing.Final = 2
# A broken attempt counts as a crash if its server is found unreachable within this time.
CONFIRMATION_MS: typing.Final = 1500
MEMORY_MS: typing.Final = 60_000
FINGERPRINTS_MAX: typing.Final = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspect:
    fingerprint: str
    broken_ms: float


@dataclasses.dataclass(slots=True)
class _Deaths:
    seen_ms: float
    servers: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class PoisonRequestDetector:
    """Deaths of backend servers by the fingerprint of the request that was under way."""

    suspects: dict[str, list[_Suspect]] = dataclasses.field(default_factory=dict)
    deaths: dict[str, _Deaths] = dataclasses.field(default_factory=dict)

    def suspect(self, fingerprint: str, incarnation: str, now_ms: float) -> None:
        """Note that a server broke the connection of a request."""
        recent = [
            found
            for found in self.suspects.get(incarnation, ())
            if now_ms - found.broken_ms <= CONFIRMATION_MS
        ]
        recent.append(_Suspect(fingerprint, now_ms))
        self.suspects[incarnation] = recent

    def confirm(self, incarnation: str, now_ms: float) -> tuple[str, ...]:
        """Note that a server is dead; return the fingerprints to tell the peers."""
        recent = tuple(
            found.fingerprint
            for found in self.suspects.pop(incarnation, ())
            if now_ms - found.broken_ms <= CONFIRMATION_MS
        )
        for fingerprint in recent:
            self.record_crash(fingerprint, incarnation, now_ms)
        return recent

    def record_crash(self, fingerprint: str, incarnation: str, now_ms: float) -> None:
        """Note a death that this instance or a peer has seen."""
        deaths = self.deaths.setdefault(fingerprint, _Deaths(now_ms))
        deaths.seen_ms = now_ms
        deaths.servers.add(incarnation)
        while len(self.deaths) > FINGERPRINTS_MAX:
            self.deaths.pop(next(iter(self.deaths)))

    def is_refused(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether a request has crashed several servers."""
        deaths = self.deaths.get(fingerprint)
        if deaths is None:
            return False
        if now_ms - deaths.seen_ms > MEMORY_MS:
            self.deaths.pop(fingerprint)
            return False
        return len(deaths.servers) >= EVIDENCE_SERVERS
