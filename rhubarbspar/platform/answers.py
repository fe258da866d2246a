"""Codec of the bodies of the store's answers.

A small text can decode to many times its size. The number of its elements is therefore checked
before it is decoded.
"""

import base64
import dataclasses
import json
import typing
from collections import abc

from rhubarbspar.gateway import events
from rhubarbspar.gateway.store import revisions
from rhubarbspar.http1 import messages
from rhubarbspar.platform import const
from rhubarbspar.platform import errors

_KEY_MAX_BYTES: typing.Final = 200
# Numbers of an era fit into the low bits of a revision.
_NUMBER_END: typing.Final = 0x10000000000
_ERA_DIGITS_MAX: typing.Final = 6
_NO_DOCUMENT: typing.Final = b'null'
# Each element of an array or member of an object comes after one of these.
_ELEMENT_MARKS: typing.Final = (b',', b'[', b'{')

Document: typing.TypeAlias = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The decoded body of an answer, and the era of the store that gave it."""

    document: Document
    era: int

    @property
    def revision(self) -> int:
        """Return the revision of the store at the answer."""
        return revisions.combine(self.era, _require_number(self.document, 'at'))

    @property
    def written_revision(self) -> int:
        """Return the revision of the write that the answer confirms."""
        return revisions.combine(self.era, _require_number(self.document, 'revision'))

    def lease(self) -> int:
        """Return the id of a lease."""
        return _require_integer(self.document, 'lease')

    def record(self) -> events.RecordRead:
        """Return the only record of the answer."""
        return _decode_record(self.document, self.era)

    def records(self, name: str) -> tuple[events.RecordRead, ...]:
        """Return the records of a list."""
        rows = self.document.get(name)
        if not isinstance(rows, list):
            raise errors.MalformedAnswerError(f'{name} is not a list')
        return tuple(_decode_record(row, self.era) for row in rows)

    @property
    def has_more(self) -> bool:
        """Return whether another page follows."""
        return bool(self.document.get('hasMore'))


def decode(body: bytes, era: int, elements_max: int) -> Answer:
    """Decode the body of an answer.

    Parameters
    ----------
    elements_max
        Upper bound of the arrays, objects and their members.

    Raises
    ------
    errors.TooLargeError
        If there are more elements.
    errors.MalformedAnswerError
        If it is neither empty nor a JSON object.
    """
    if sum(body.count(mark) for mark in _ELEMENT_MARKS) > elements_max:
        raise errors.TooLargeError(f'the answer has more than {elements_max} elements')
    try:
        document = json.loads(body or _NO_DOCUMENT)
    except (RecursionError, ValueError) as error:
        raise errors.MalformedAnswerError('the answer is not JSON') from error
    if document is None:
        return Answer({}, era)
    if not isinstance(document, dict):
        raise errors.MalformedAnswerError('the answer is not an object')
    return Answer(document, era)


def decode_era(headers: abc.Iterable[messages.Header], known_era: int) -> int:
    """Return the era that an answer names; the known one if it names none.

    Raises
    ------
    errors.StoreError
        If it is malformed, or older than the known one.
    """
    raw = messages.find_header(headers, const.HEADER_STORE_ERA)
    if raw is None:
        return known_era
    if not raw.isdigit() or len(raw) > _ERA_DIGITS_MAX:
        raise errors.MalformedAnswerError('the store names no valid era')
    era = int(raw)
    if era < known_era:
        raise errors.StoreError('the answer is older than the restore of the store')
    return era


def _decode_record(row: typing.Any, era: int) -> events.RecordRead:
    if not isinstance(row, dict):
        raise errors.MalformedAnswerError('a record is not an object')
    key = row.get('key')
    if not isinstance(key, str) or len(key) > _KEY_MAX_BYTES:
        raise errors.MalformedAnswerError('a record has no key of ordinary length')
    revision = revisions.combine(era, _require_number(row, 'revision'))
    if row.get('tombstone'):
        return events.RecordRead(key, revision, None)
    try:
        return events.RecordRead(key, revision, base64.b64decode(row['value']))
    except (KeyError, TypeError, ValueError) as error:
        raise errors.MalformedAnswerError(f'{key!r} has no content in base64') from error


def _require_number(document: Document, name: str) -> int:
    """Return a number that the store gives out within an era."""
    number = _require_integer(document, name)
    if not 0 <= number < _NUMBER_END:
        raise errors.MalformedAnswerError(f'{name} is out of range')
    return number


def _require_integer(document: Document, name: str) -> int:
    raw = document.get(name)
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise errors.MalformedAnswerError(f'{name} is not an integer')
    return raw
