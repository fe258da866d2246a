"""Codec of requests and responses between callers, this instance and backend servers."""

import hashlib
import json
import math
import typing
from urllib import parse as urls

from rhubarbspar import const as package_const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.http1 import bodies
from rhubarbspar.http1 import messages
from rhubarbspar.platform import const

_REPLACED_HEADERS = frozenset(
    (
        const.HEADER_ACCOUNT,
        const.HEADER_AUTHORIZATION,
        const.HEADER_DEADLINE_MS,
        const.HEADER_EXPECTED_SERVER,
    )
)
# Running and waiting requests, and slots. Some deployments add the slowness after them.
_LOAD_REPORT_FIELDS: typing.Final = 3
# The part after the last split holds the figures that are not known.
_SPLITS_MAX: typing.Final = 4
# Slowness of a server at which work takes as long as usual.
_USUAL_SLOWNESS_PERCENT: typing.Final = 100
# Longer counts cannot be sent to peers.
_COUNT_DIGITS_MAX: typing.Final = 9
_RETRY_AFTER_DECIMALS = 3
_LEAVING: typing.Final = b'1'
# A server that names a longer time is asked again after this one.
_RETRY_AFTER_MAX_MS: typing.Final = 300_000
_FINGERPRINT_SIZE_BYTES = 12


def decode_request(request: messages.Request, number: int) -> models.Request:
    """Decode the parts of a caller's request that routing and admission depend on."""
    path, _, _query = request.target.decode('latin-1').partition('?')
    return models.Request(
        request_number=number,
        attempt_id=read_attempt_id(request),
        method=request.method.decode('latin-1'),
        host=_host_without_port(_header_text(request, const.HEADER_HOST) or ''),
        path=path,
        access_key=_parse_access_key(_header_text(request, const.HEADER_AUTHORIZATION)),
        object_key=_parse_affinity_key(_header_text(request, const.HEADER_COOKIE)),
        caller_timeout_ms=_parse_deadline_ms(_header_text(request, const.HEADER_DEADLINE_MS)),
        fingerprint=_hash_request(request),
    )


def read_attempt_id(request: messages.Request) -> str:
    """Return the caller's identifier of its attempt, empty if the request has none."""
    return _header_text(request, const.HEADER_ATTEMPT_ID) or ''


def encode_attempt(request: messages.Request, attempt: effects.StartAttempt) -> messages.Request:
    """Return the request to send to a backend server.

    The access key and any account that the caller names are removed; the account of the key, the
    remaining time and the expected server are added.
    """
    headers = [
        header
        for header in messages.end_to_end(request.headers)
        if header[0] not in _REPLACED_HEADERS
    ]
    remaining_ms = max(1, int(attempt.time_left_ms))
    headers.append((const.HEADER_DEADLINE_MS, b'%d' % remaining_ms))
    headers.append((const.HEADER_EXPECTED_SERVER, attempt.server.server_id.encode()))
    if attempt.account_id is not None:
        headers.append((const.HEADER_ACCOUNT, attempt.account_id.encode()))
    return messages.Request(request.method, request.target, tuple(headers), request.body)


def response_id_header(request: messages.Request) -> messages.Header | None:
    """Return the attempt id header that the response must repeat, if the request has one."""
    attempt_id = messages.find_header(request.headers, const.HEADER_ATTEMPT_ID)
    return None if attempt_id is None else (const.HEADER_ATTEMPT_ID, attempt_id)


def classify_response(response: messages.Response) -> events.AttemptResult:
    """Classify a response: wrong server, request not run, not relayable, or answered."""
    if response.status == const.STATUS_MISDIRECTED:
        return events.AttemptResult.WRONG_INSTANCE
    if messages.find_header(response.headers, const.HEADER_NOT_RUN) is not None:
        return events.AttemptResult.NOT_RUN
    if messages.find_header(response.headers, const.HEADER_CONTENT_ENCODING) is not None:
        return events.AttemptResult.MALFORMED
    return events.AttemptResult.ANSWERED


def decode_load_report(response: messages.Response) -> events.LoadReport | None:
    """Return the load that a response reports, or ``None`` if it is absent or malformed.

    Figures after the known ones are ignored, and so is a fourth one that is malformed.
    """
    raw = messages.find_header(response.headers, const.HEADER_LOAD)
    parts = [] if raw is None else raw.split(b',', _SPLITS_MAX)
    counts = parts[:_LOAD_REPORT_FIELDS]
    if len(counts) != _LOAD_REPORT_FIELDS:
        return None
    if not all(part.strip().isdigit() and len(part) <= _COUNT_DIGITS_MAX for part in counts):
        return None
    running, waiting, slots = (int(part) for part in counts)
    slowness = _parse_slowness(parts[_LOAD_REPORT_FIELDS]) if len(parts) > len(counts) else None
    return events.LoadReport(running, waiting, slots, slowness)


def decode_rate_limit(response: messages.Response) -> float | None:
    """Return the rate limit that a response names, requests per second.

    ``None`` if it names none, or no finite number of at least 0.
    """
    return _decode_number(response, const.HEADER_RATE_LIMIT)


def decode_leaving(response: messages.Response) -> bool:
    """Return whether a response says that its server is leaving."""
    return messages.find_header(response.headers, const.HEADER_LEAVING) == _LEAVING


def decode_retry_after_ms(response: messages.Response) -> float | None:
    """Return for how long a server that is unavailable wants no requests, milliseconds.

    ``None`` if the response does not say so, or names no finite number of at least 0.
    """
    if response.status != const.STATUS_UNAVAILABLE:
        return None
    seconds = _decode_number(response, const.HEADER_RETRY_AFTER)
    if seconds is None:
        return None
    return min(seconds * package_const.MS_PER_S, _RETRY_AFTER_MAX_MS)


def encode_relayed_response(response: messages.Response) -> messages.Response:
    """Return a backend server's response without its hop-by-hop headers, for the caller."""
    headers = tuple(messages.end_to_end(response.headers))
    return messages.Response(response.status, headers, response.body)


def encode_refusal(refuse: effects.Refuse) -> messages.Response:
    """Encode a refusal by this instance; the JSON body names the reason."""
    headers: list[messages.Header] = [(b'content-type', b'application/json')]
    if refuse.retry_after_ms is not None:
        seconds = str(round(refuse.retry_after_ms / package_const.MS_PER_S, _RETRY_AFTER_DECIMALS))
        headers.append((const.HEADER_RETRY_AFTER, seconds.encode()))
    body = json.dumps({'error': refuse.reason}).encode()
    return messages.Response(refuse.status, tuple(headers), body)


def _decode_number(response: messages.Response, name: bytes) -> float | None:
    """Return the number in a header; ``None`` without a finite number of at least 0."""
    raw = messages.find_header(response.headers, name)
    return None if raw is None else _parse_number(raw)


def _parse_number(raw: bytes) -> float | None:
    """Return a finite number of at least 0; ``None`` if the text is no such number."""
    try:
        number = float(raw)
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def _parse_slowness(raw: bytes) -> float | None:
    """Return a slowness as a multiple of the usual time; ``None`` if it is no positive number."""
    percent = _parse_number(raw)
    return percent / _USUAL_SLOWNESS_PERCENT if percent else None


def _header_text(request: messages.Request, name: bytes) -> str | None:
    raw = messages.find_header(request.headers, name)
    return None if raw is None else raw.decode('latin-1').strip()


def _host_without_port(raw: str) -> str:
    name, separator, port = raw.rpartition(':')
    return (name if separator and port.isdigit() else raw).lower()


def _parse_access_key(raw: str | None) -> str | None:
    if raw is None or not raw.lower().startswith(const.AUTHORIZATION_SCHEME):
        return None
    return raw[len(const.AUTHORIZATION_SCHEME) :].strip()


def _parse_affinity_key(raw: str | None) -> str | None:
    for pair in (raw or '').split(';'):
        name, _, content = pair.strip().partition('=')
        if name == const.COOKIE_AFFINITY_KEY:
            return urls.unquote(content)
    return None


def _parse_deadline_ms(raw: str | None) -> float | None:
    return float(raw) if raw is not None and raw.isdigit() else None


def _hash_request(request: messages.Request) -> str:
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_SIZE_BYTES)
    digest.update(b'%b\0%b\0' % (request.method, request.target))
    for view in bodies.views_of(request.body):
        digest.update(view)
    return digest.hexdigest()
