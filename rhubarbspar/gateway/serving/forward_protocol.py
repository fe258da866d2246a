"""Codec of the attempts that an instance passes on for a peer.

The peer sends the HTTP request for the backend server to the forward address of the instance, with
the headers of this module added. The response is that of the server, or names the result of the
attempt in ``HEADER_RESULT``. Connections of their own keep large bodies from delaying heartbeats.
"""

import dataclasses
import hashlib
import hmac
import math
import typing

from rhubarbspar.gateway import events
from rhubarbspar.http1 import messages

HEADER_RESULT: typing.Final = b'rhubarbspar-forward-result'
HEADER_SERVER: typing.Final = b'rhubarbspar-forward-server'
HEADER_TIME_LEFT_MS: typing.Final = b'rhubarbspar-forward-time-left-ms'
HEADER_TOKEN: typing.Final = b'rhubarbspar-forward-token'
# Upper bound of the size of the headers that this module adds.
HEADERS_MAX_BYTES: typing.Final = 1024
_STATUS_RESULT: typing.Final = 502


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """What a peer sends along with the request.

    Attributes
    ----------
    server_id
        Backend server that gets the request.
    time_left_ms
        Time until the deadline of the request.
    token
        Proof that the peer knows the key of the fleet.
    """

    server_id: str
    time_left_ms: float
    token: bytes


def make_token(fleet_key: bytes, instance_id: str) -> bytes:
    """Return the proof for an instance that its peer knows the key of the fleet."""
    audience = f'forward {instance_id}'.encode()
    return hmac.new(fleet_key, audience, hashlib.sha256).hexdigest().encode()


def is_valid_token(token: bytes, fleet_key: bytes, instance_id: str) -> bool:
    """Return whether a token proves the knowledge of the key; without a key, none does."""
    return bool(fleet_key) and hmac.compare_digest(token, make_token(fleet_key, instance_id))


def wrap(request: messages.Request, envelope: Envelope) -> messages.Request:
    """Return the request for the instance that passes it on."""
    added = (
        (HEADER_SERVER, envelope.server_id.encode()),
        (HEADER_TIME_LEFT_MS, b'%d' % max(1, int(envelope.time_left_ms))),
        (HEADER_TOKEN, envelope.token),
    )
    headers = (*_without_own_headers(request.headers), *added)
    return dataclasses.replace(request, headers=headers)


def unwrap(message: messages.Request) -> messages.Request:
    """Return the request for the backend server."""
    return dataclasses.replace(message, headers=_without_own_headers(message.headers))


def decode_envelope(message: messages.Request) -> Envelope | None:
    """Return what a peer has sent along, or ``None`` if it is absent or malformed."""
    server_id = messages.find_header(message.headers, HEADER_SERVER)
    time_left = messages.find_header(message.headers, HEADER_TIME_LEFT_MS)
    token = messages.find_header(message.headers, HEADER_TOKEN)
    if server_id is None or time_left is None or token is None:
        return None
    time_left_ms = float(time_left) if time_left.isdigit() else math.inf
    if time_left_ms == math.inf:
        return None
    return Envelope(server_id.decode('latin-1'), time_left_ms, token)


def encode_response(response: messages.Response) -> messages.Response:
    """Return the response of a backend server for the peer."""
    headers = _without_own_headers(tuple(messages.end_to_end(response.headers)))
    return messages.Response(response.status, headers, response.body)


def encode_result(
    attempt_result: events.AttemptResult, echo: messages.Header | None
) -> messages.Response:
    """Return the response for the peer that names the result of an attempt.

    Parameters
    ----------
    echo
        Header by which the response names its request.
    """
    headers = [(HEADER_RESULT, attempt_result.value.encode())]
    if echo is not None:
        headers.append(echo)
    return messages.Response(_STATUS_RESULT, tuple(headers))


def decode_result(response: messages.Response) -> events.AttemptResult | None:
    """Return the result that a response names; ``None`` if it is one of the backend server.

    An unknown result is taken for one after which the server may have run the request.
    """
    raw = messages.find_header(response.headers, HEADER_RESULT)
    if raw is None:
        return None
    try:
        return events.AttemptResult(raw.decode('latin-1'))
    except ValueError:
        return events.AttemptResult.BROKEN


def _without_own_headers(headers: messages.Headers) -> messages.Headers:
    return tuple(header for header in headers if header[0] not in _OWN_HEADERS)


_OWN_HEADERS: typing.Final = frozenset(
    (HEADER_RESULT, HEADER_SERVER, HEADER_TIME_LEFT_MS, HEADER_TOKEN)
)
