"""Convert refusals to problem details.

Source: RFC 9457 (problem details for HTTP APIs).
"""

import json
import math
import types
import typing

from rhubarbspar import const as package_const
from rhubarbspar.core import models
from rhubarbspar.server import const

_MS_PER_S = 1000
_STATUS_BY_REASON: typing.Final = types.MappingProxyType(
    {
        package_const.REASON_BACKEND_FAILED: 502,
        package_const.REASON_BAD_REQUEST: 400,
        package_const.REASON_BODY_TOO_LARGE: 413,
        package_const.REASON_CRASHES_SERVERS: 422,
        package_const.REASON_DEADLINE_EXCEEDED: 504,
        package_const.REASON_FULL: 503,
        package_const.REASON_HEADERS_TOO_LARGE: 431,
        package_const.REASON_IDEMPOTENCY_KEY_EXPIRED: 409,
        package_const.REASON_IDEMPOTENCY_KEY_INVALID: 400,
        package_const.REASON_IDEMPOTENCY_KEY_REQUIRED: 400,
        package_const.REASON_IDEMPOTENCY_KEY_REUSED: 422,
        package_const.REASON_INSTANCE_STOPPING: 503,
        package_const.REASON_KEY_MISSING: 401,
        package_const.REASON_KEY_UNKNOWN: 401,
        package_const.REASON_KEYS_STALE: 503,
        package_const.REASON_METHOD_NOT_ALLOWED: 405,
        package_const.REASON_NO_CONFIGURATION: 503,
        package_const.REASON_NO_SERVER: 503,
        package_const.REASON_NOT_OWNER: 503,
        package_const.REASON_OUTCOME_UNKNOWN: 409,
        package_const.REASON_RATE_LIMITED: 429,
        package_const.REASON_REQUEST_TIMEOUT: 408,
        package_const.REASON_RESPONSE_TOO_LARGE: 502,
        package_const.REASON_TOO_MANY_CONNECTIONS: 503,
        package_const.REASON_UNKNOWN_ROUTE: 404,
        package_const.REASON_UNKNOWN_SERVICE: 404,
    }
)
_STATUS_DEFAULT = 503


def to_response(refused: models.Refused) -> models.Response:
    """Return the HTTP response of a refusal, with its status code and problem details."""
    status = _STATUS_BY_REASON.get(refused.reason, _STATUS_DEFAULT)
    body = json.dumps(
        {
            'type': 'about:blank',
            'title': refused.reason.replace('_', ' '),
            'status': status,
            'reason': refused.reason,
            'run': refused.run.value,
        }
    ).encode()
    headers = [
        ('Content-Type', 'application/problem+json'),
        (const.HEADER_REQUEST_RUN, refused.run.value),
    ]
    if refused.retry_after_ms is not None:
        seconds = max(1, math.ceil(refused.retry_after_ms / _MS_PER_S))
        headers.append(('Retry-After', str(seconds)))
    if refused.reason in {package_const.REASON_KEY_MISSING, package_const.REASON_KEY_UNKNOWN}:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return models.Response(status, tuple(headers), body)
