"""The calls that ask which instances to use, and whether this one is ready."""

import dataclasses
import json
from urllib import parse as urls

from rhubarbspar.helpers import durations
from rhubarbspar.http1 import messages
from rhubarbspar.platform import const

_STATUS_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """A caller asks where to connect; it says where it is."""

    region: str
    failure_domain: str


def decode_lookup(request: messages.Request) -> Lookup | None:
    """Return what a caller asks for, or ``None`` for another call."""
    parts = urls.urlsplit(request.target.decode('latin-1'))
    if parts.path != const.PATH_RESOLVE.decode():
        return None
    query = urls.parse_qs(parts.query)
    return Lookup(query.get('region', [''])[0], query.get('zone', [''])[0])


def encode_lookup(caller_addresses: tuple[str, ...], ttl_ms: float) -> messages.Response:
    """Return the answer that names the instances to use."""
    body = json.dumps(
        {'frontAddresses': list(caller_addresses), 'ttl': durations.format_ms(ttl_ms)}
    )
    headers = ((b'content-type', b'application/json'),)
    return messages.Response(const.STATUS_OK, headers, body.encode())


def encode_readiness(ready: bool) -> messages.Response:  # noqa: FBT001
    """Return the answer of the readiness check."""
    return messages.Response(const.STATUS_OK if ready else _STATUS_UNAVAILABLE)


def encode_not_found() -> messages.Response:
    """Return the answer to a call that is not served here."""
    return messages.Response(const.STATUS_NOT_FOUND)
