"""Blocking HTTP requests with a timeout."""

import contextlib
import dataclasses
import typing
from collections import abc
from http import client
from urllib import parse as urls

from rhubarbspar import exceptions

DEFAULT_TIMEOUT_S: typing.Final = 2.0
RESPONSE_MAX_BYTES: typing.Final = 16_777_216


class HttpError(exceptions.RhubarbsparError):
    """Base class for failed HTTP requests."""


class NotSentError(HttpError):
    """The connection could not be opened, so the request was not sent."""


class ResponseLostError(HttpError):
    """The request may have been executed, but no complete response arrived."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes


def call(
    method: str,
    url: str,
    body: bytes = b'',
    headers: abc.Mapping[str, str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Response:
    """Send a request and return its response.

    Parameters
    ----------
    method, url, body, headers
        The request; the URL has the scheme ``http``.
    timeout_s
        Timeout in seconds for connecting and for each socket operation.

    Raises
    ------
    NotSentError
        If the connection could not be opened.
    ResponseLostError
        If the request may have been executed, but no complete response arrived.
    """
    parts = urls.urlsplit(url)
    target = urls.urlunsplit(('', '', parts.path or '/', parts.query, ''))
    connection = _connect(parts.netloc, timeout_s)
    with contextlib.closing(connection):
        return _send_request(connection, method, target, body, headers or {})


def _connect(netloc: str, timeout_s: float) -> client.HTTPConnection:
    try:
        connection = client.HTTPConnection(netloc, timeout=timeout_s)
    except client.InvalidURL as error:
        raise NotSentError(str(error)) from error
    try:
        connection.connect()
    except OSError as refused:
        raise NotSentError(f'{netloc}: {_reason(refused)}') from refused
    return connection


def _send_request(
    connection: client.HTTPConnection,
    method: str,
    target: str,
    body: bytes,
    headers: abc.Mapping[str, str],
) -> Response:
    try:
        connection.request(method, target, body, headers)
    except (OSError, client.HTTPException) as error:
        raise ResponseLostError(f'{connection.host}:{connection.port}: {_reason(error)}') from error
    try:
        return _read_response(connection)
    except (OSError, client.HTTPException) as lost:
        raise ResponseLostError(f'{connection.host}:{connection.port}: {_reason(lost)}') from lost


def _read_response(connection: client.HTTPConnection) -> Response:
    response = connection.getresponse()
    body = response.read(RESPONSE_MAX_BYTES + 1)
    if len(body) > RESPONSE_MAX_BYTES:
        raise client.HTTPException(f'answer is longer than {RESPONSE_MAX_BYTES} bytes')
    return Response(response.status, body)


def _reason(error: Exception) -> str:
    if isinstance(error, OSError) and error.strerror:
        return error.strerror
    return str(error) or type(error).__name__
