"""Codec of the lookup of instances and of the readiness check."""

import dataclasses
import json
from urllib import parse as urls

from rhubarbspar.helpers import durations
from rhubarbspar.http1 import messages
from rhubarbspar.platform import const

_STATUS_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """Lookup by a caller, with the caller's own location; a part that it omits is empty."""

    region: str
    failure_domain: str


def decode_lookup(request: messages.Request) -> Lookup | None:
    """Decode a lookup; return ``None`` if the request has another path."""
    parts = urls.urlsplit(request.target.decode('latin-1'))
    if parts.path != const.PATH_RESOLVE.decode():
        return None
    query = urls.parse_qs(parts.query)
    return Lookup(query.get('region', [''])[0], query.get('zone', [''])[0])


def encode_lookup(caller_addresses: tuple[str, ...], ttl_ms: float) -> messages.Response:
    """Encode the addresses to connect to and how long a caller may keep them."""
    body = json.dumps(
        {'frontAddresses': list(caller_addresses), 'ttl': durations.format_ms(ttl_ms)}
    )
    headers = ((b'content-type', b'application/json'),)
    return messages.Response(const.STATUS_OK, headers, body.encode())


def encode_readiness(ready: bool) -> messages.Response:  # noqa: FBT001
    """Return status 200 if the instance is ready, 503 otherwise."""
    return messages.Response(const.STATUS_OK if ready else _STATUS_UNAVAILABLE)


def encode_not_found() -> messages.Response:
    """Return status 404, for a path that is not served here."""
    return messages.Response(const.STATUS_NOT_FOUND)
