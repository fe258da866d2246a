"""Select the headers that a proxy passes on.

Source: RFC 9110, section 7.6.1 (connection-specific fields).
"""

from collections import abc

from rhubarbspar.core import models
from rhubarbspar.server import const

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_NOT_FOR_BACKEND = _HOP_BY_HOP.union(
    (
        const.HEADER_AUTHORIZATION,
        const.HEADER_TIMEOUT,
        'expect',
    )
)


def end_to_end(headers: models.Headers) -> models.Headers:
    """Return the end-to-end headers, without the connection-specific ones."""
    return _without(headers, _HOP_BY_HOP)


def for_backend(headers: models.Headers) -> models.Headers:
    """Return the headers of a caller that a backend server may see, without the access key."""
    return _without(headers, _NOT_FOR_BACKEND)


def decode(raw: abc.Iterable[tuple[bytes, abc.Sequence[bytes]]]) -> models.Headers:
    """Decode the raw headers of Twisted to pairs of name and value."""
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1')) for name, texts in raw for text in texts
    )


def _without(headers: models.Headers, names: frozenset[str]) -> models.Headers:
    """Remove the headers in ``names`` and those that a ``Connection`` header lists."""
    kept = tuple(pair for pair in headers if pair[0].lower() not in names)
    if len(kept) == len(headers):
        return headers
    options = _connection_options(headers)
    return tuple(pair for pair in kept if pair[0].lower() not in options) if options else kept


def _connection_options(headers: models.Headers) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    )
