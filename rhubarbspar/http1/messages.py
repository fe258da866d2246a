"""HTTP messages and their serialization."""

import dataclasses
import http
import typing
from collections import abc

from rhubarbspar.http1 import bodies
from rhubarbspar.http1 import const

Header: typing.TypeAlias = tuple[bytes, bytes]
Headers: typing.TypeAlias = tuple[Header, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bodies.Body = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response; header names are in lower case.

    Attributes
    ----------
    keep_alive
        Whether the connection can carry another request.
    """

    status: int
    headers: Headers = ()
    body: bodies.Body = b''
    keep_alive: bool = True


def find_header(headers: abc.Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, or ``None``."""
    for candidate, content in headers:
        if candidate == name:
            return content
    return None


def end_to_end(headers: abc.Iterable[Header]) -> list[Header]:
    """Return the end-to-end headers, without the hop-by-hop ones (RFC 9110, section 7.6.1)."""
    kept = tuple(headers)
    options = _connection_options(kept)
    return [
        (name, content)
        for name, content in kept
        if name not in const.HOP_BY_HOP and name not in options
    ]


def content_length(headers: abc.Iterable[Header]) -> int | None:
    """Return the announced size of a body; ``None`` if it is not announced or malformed."""
    raw = find_header(headers, b'content-length')
    return int(raw) if raw is not None and raw.isdigit() else None


def serialize_request_head(request: Request) -> bytes:
    """Return the head of a request; ``Content-Length`` is derived from the body."""
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines.extend(b'%b: %b' % header for header in request.headers if header[0] != b'content-length')
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE', b'OPTIONS'}:
        lines.append(b'content-length: %d' % len(request.body))
    return b'\r\n'.join((*lines, b'', b''))


def serialize_response_head(response: Response, *, to_head: bool, close: bool) -> bytes:
    """Return the head of a response.

    Parameters
    ----------
    response
        Response to serialize.
    to_head
        Whether the request was HEAD: ``Content-Length`` is kept.
    close
        Whether the connection closes after this response.
    """
    lines = [b'HTTP/1.1 %d %b' % (response.status, _phrase(response.status))]
    lines.extend(
        b'%b: %b' % header
        for header in response.headers
        if header[0] != b'content-length' or to_head
    )
    if not to_head and response.status not in {const.STATUS_NO_CONTENT, const.STATUS_NOT_MODIFIED}:
        lines.append(b'content-length: %d' % len(response.body))
    if close:
        lines.append(b'connection: close')
    return b'\r\n'.join((*lines, b'', b''))


def _connection_options(headers: Headers) -> frozenset[bytes]:
    options: set[bytes] = set()
    for name, content in headers:
        if name == b'connection':
            options.update(option.strip().lower() for option in content.split(b','))
    return frozenset(options)


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
