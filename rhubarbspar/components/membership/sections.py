"""Which sections of a heartbeat the addressee still needs."""

import base64
import functools
import typing
import zlib

from rhubarbspar.components.membership import const
from rhubarbspar.components.membership import models

ContentT = typing.TypeVar('ContentT')


class SectionSelector:
    """Decides which sections a heartbeat to one peer carries.

    Parameters
    ----------
    sent
        What was sent to the peer; the values of sections are recorded in it.
    sent_ms
        Of the heartbeat that is being composed.
    """

    def __init__(self, sent: models.SentHeartbeats, sent_ms: float) -> None:
        self.sent_ms = sent_ms
        self._sent = sent

    def unacknowledged(self, name: str, content: ContentT) -> ContentT | None:
        """Return a section's present value, or ``None`` if the peer has acknowledged it."""
        section = self._sent.sections.get(name)
        if section is None or section.content != content:
            # The peer drops a second heartbeat of the same millisecond, so that only a later one
            # can acknowledge what the second one carried.
            first_sent_ms = max(self.sent_ms, self._sent.sent_ms + 1)
            section = models.SentSection(content, first_sent_ms)
            self._sent.sections[name] = section
        return None if self._sent.acknowledged_ms >= section.first_sent_ms else content


@functools.lru_cache(maxsize=const.SHORT_INCARNATIONS_MAX)
def short_incarnation(incarnation: str) -> str:
    """Return the form of an incarnation in heartbeats that are not complete."""
    digest = zlib.crc32(incarnation.encode())
    return base64.b64encode(digest.to_bytes(const.SHORT_INCARNATION_BYTES)).decode().rstrip('=')
