"""Response bodies that prove to be whole and to belong to a request.

A body is one line of JSON with the request's token, the length and the SHA-256 digest of the payload,
followed by the payload.
"""

import hashlib
import json

from rhubarbspar.standins import errors


class MixedUpError(errors.AnswerError):
    """The answer belongs to another request."""


class TruncatedError(errors.AnswerError):
    """The answer is incomplete or damaged."""


def render(token: str, size_bytes: int, **fields: str) -> bytes:
    """Return a body with a payload of the given size and further fields."""
    pattern = hashlib.sha256(token.encode()).digest()
    payload = (pattern * (size_bytes // len(pattern) + 1))[:size_bytes]
    digest = hashlib.sha256(payload).hexdigest()
    header = {'token': token, 'length': size_bytes, 'sha256': digest, **fields}
    return f'{json.dumps(header)}\n'.encode() + payload


def verify(body: bytes, token: str) -> dict[str, object]:
    """Return the fields of a whole body.

    Raises
    ------
    MixedUpError
        If the body has another request's token.
    TruncatedError
        If the body is incomplete or damaged.
    """
    line, _separator, payload = body.partition(b'\n')
    header = _header(line)
    if header.get('token') != token:
        raise MixedUpError('token of another request')
    if header.get('length') != len(payload):
        raise TruncatedError('length differs')
    if header.get('sha256') != hashlib.sha256(payload).hexdigest():
        raise TruncatedError('digest differs')
    return header


def _header(line: bytes) -> dict[str, object]:
    try:
        header = json.loads(line)
    except ValueError as error:
        raise TruncatedError('no header line') from error
    if not isinstance(header, dict):
        raise TruncatedError('header line is not an object')
    return header
