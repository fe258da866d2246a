"""Requests of callers, responses of backend servers, and outcomes."""

import dataclasses
import enum
import typing

Headers: typing.TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, with its whole body.

    Attributes
    ----------
    request_id
        Id that is unique within this process.
    service_id
        First segment of the request path.
    method, target
        HTTP method, and the path below the service with its query string, starting with ``/``.
    headers
        End-to-end headers without the access key.
    body
        At most ``const.BODY_MAX_BYTES`` bytes.
    access_key_digest
        Lower-case hexadecimal SHA-256 digest of the access key, or ``None`` without a key.
    idempotency_key
        Value of the ``Idempotency-Key`` header, or ``None``.
    deadline_ms
        Monotonic time of this process after which the caller no longer waits.
    """

    request_id: str
    service_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    access_key_digest: str | None
    idempotency_key: str | None
    deadline_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response from a backend server."""

    status: int
    headers: Headers
    body: bytes


class ExecutionStatus(enum.StrEnum):
    """Whether a refused request may have been executed by a backend server."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Outcome of a request that got a complete response from a backend server."""

    response: Response


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Outcome of a request that got no response from a backend server.

    ``run`` is ``NOT_RUN`` only if no backend server has received any part of the request.
    """

    reason: str
    run: ExecutionStatus
    retry_after_ms: float | None = None


Outcome: typing.TypeAlias = Answered | Refused
