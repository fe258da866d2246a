"""Selection of the heartbeat sections that a peer has not acknowledged, and short incarnations."""

import base64
import functools
import typing
import zlib

from rhubarbspar.components.membership import const
from rhubarbspar.components.membership import models

ContentT = typing.TypeVar('ContentT')


class SectionSelector:
    """Select the sections of a heartbeat to one peer.

    Parameters
    ----------
    sent
        Heartbeats sent to the peer so far; the current values of the sections are recorded in it.
    sent_ms
        ``sent_ms`` of the heartbeat to be built.
    """

    def __init__(self, sent: models.SentHeartbeats, sent_ms: float) -> None:
        self.sent_ms = sent_ms
        self._sent = sent

    def unacknowledged(self, name: str, content: ContentT) -> ContentT | None:
        """Return the current value of a section, or ``None`` if the peer has acknowledged it."""
        section = self._sent.sections.get(name)
        if section is None or section.content != content:
            # The peer drops a second heartbeat with the same millisecond as the last one. A value
            # that is new in the second one counts as sent only with a later millisecond.
            first_sent_ms = max(self.sent_ms, self._sent.sent_ms + 1)
            section = models.SentSection(content, first_sent_ms)
            self._sent.sections[name] = section
        return None if self._sent.acknowledged_ms >= section.first_sent_ms else content


@functools.lru_cache(maxsize=const.SHORT_INCARNATIONS_MAX)
def short_incarnation(incarnation: str) -> str:
    """Return the checksum that replaces an incarnation in heartbeats that are not complete."""
    digest = zlib.crc32(incarnation.encode())
    return base64.b64encode(digest.to_bytes(const.SHORT_INCARNATION_BYTES)).decode().rstrip('=')
