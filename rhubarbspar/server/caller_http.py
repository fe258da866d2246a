"""HTTP endpoints for callers: look-ups of instances and the routes of services."""

import hashlib
import itertools
import json
import typing
from collections import abc

from twisted.web import http

from rhubarbspar import const as package_const
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models
from rhubarbspar.server import caller_request
from rhubarbspar.server import const
from rhubarbspar.server import headers
from rhubarbspar.server import problems

Deliver: typing.TypeAlias = abc.Callable[[events.Event], None]
Report: typing.TypeAlias = abc.Callable[[effects.Effect], None]

_BEARER = 'bearer '
# Python refuses to convert strings of more than 4,300 digits to an integer.
_TIMEOUT_DIGITS_MAX = 12
_LOOKUP_METHODS = frozenset((b'GET', b'HEAD'))


class CallerService:
    """Converts HTTP requests to events and outcomes to HTTP responses."""

    def __init__(self, deliver: Deliver, clock_ms: abc.Callable[[], float], report: Report) -> None:
        """Create a service; ``report`` receives the counts of refusals by the HTTP layer."""
        self.open_connections = 0
        self.stopping = False
        self._deliver = deliver
        self._clock_ms = clock_ms
        self._request_numbers = itertools.count(1)
        self._report = report
        self._unanswered: dict[str, caller_request.CallerRequest] = {}

    def handle_request(self, request: caller_request.CallerRequest) -> None:
        """Deliver a complete request as an event, or refuse a malformed one."""
        identifier = f'r{next(self._request_numbers)}'
        request.identifier = identifier
        self._unanswered[identifier] = request
        if request.path == const.LOOKUP_PATH:
            self._receive_lookup(identifier, request)
            return
        try:
            event = events.RequestReceived(_parse(identifier, request, self._clock_ms()))
        except _BadRequestError:
            self._refuse(identifier, package_const.REASON_BAD_REQUEST)
            return
        self._deliver(event)

    def count_refusal(self, reason: str) -> None:
        """Count a request that the HTTP layer refused, which the reducer never sees."""
        self._report(effects.Count(package_const.METRIC_REFUSALS, reason))

    def respond(self, identifier: str, outcome: models.Outcome) -> None:
        """Send the outcome of a request, unless its caller has disconnected."""
        request = self._unanswered.pop(identifier, None)
        if request is None:
            return
        match outcome:
            case models.Answered(response):
                request.write_response(response, self.stopping)
            case models.Refused():
                request.write_response(problems.to_response(outcome), self.stopping)

    def answer_lookup(self, answer: effects.AnswerLookup) -> None:
        """Send the instances that a look-up found, or its refusal."""
        if answer.refused_reason is not None:
            self._refuse(answer.lookup_id, answer.refused_reason)
            return
        self.respond(answer.lookup_id, models.Answered(_lookup_response(answer)))

    def handle_disconnect(self, identifier: str) -> None:
        """Cancel the unanswered request of a caller that closed its connection."""
        if self._unanswered.pop(identifier, None) is not None:
            self._deliver(events.RequestCancelled(identifier))

    @property
    def open_requests(self) -> int:
        """Return the number of unanswered requests."""
        return len(self._unanswered)

    def _receive_lookup(self, identifier: str, request: caller_request.CallerRequest) -> None:
        if request.method in _LOOKUP_METHODS:
            self._deliver(_to_lookup_event(identifier, request))
            return
        self._refuse(identifier, package_const.REASON_METHOD_NOT_ALLOWED)

    def _refuse(self, identifier: str, reason: str) -> None:
        self.count_refusal(reason)
        self.respond(identifier, models.Refused(reason, models.ExecutionStatus.NOT_RUN))


class _BadRequestError(Exception):
    """The request line or a header is malformed."""


def _to_lookup_event(
    identifier: str, request: caller_request.CallerRequest
) -> events.LookupReceived:
    return events.LookupReceived(
        identifier,
        request.query_argument(b'service').decode('latin-1'),
        request.getClientAddress().host,
        _key_digest(request),
    )


def _lookup_response(answer: effects.AnswerLookup) -> models.Response:
    body = json.dumps(
        {
            'idempotency_key_prefix': answer.idempotency_key_prefix,
            'instances': [
                {
                    'instance_id': entry.instance_id,
                    'region': entry.region,
                    'url': f'http://{entry.address}',
                }
                for entry in answer.instances
            ],
            'ttl_ms': answer.ttl_ms,
        }
    ).encode()
    age_s = answer.ttl_ms // package_const.MS_PER_S
    cache_control = ('Cache-Control', f'private, max-age={age_s}')
    return models.Response(http.OK, (('Content-Type', 'application/json'), cache_control), body)


def _parse(identifier: str, request: caller_request.CallerRequest, now_ms: float) -> models.Request:
    uri = request.uri.decode('latin-1')
    # The HTTP client for backend servers would drop a fragment.
    if not uri.startswith('/') or '#' in uri:
        raise _BadRequestError
    service_id, _, rest = uri[1:].partition('/')
    timeout_ms = _timeout_ms(request.header_value(b'request-timeout-ms'))
    return models.Request(
        request_id=identifier,
        service_id=service_id.partition('?')[0],
        method=request.method.decode('latin-1'),
        target=f'/{rest}',
        headers=headers.for_backend(headers.decode(request.requestHeaders.getAllRawHeaders())),
        body=request.body,
        access_key_digest=_key_digest(request),
        idempotency_key=request.header_value(b'idempotency-key'),
        deadline_ms=now_ms + timeout_ms,
    )


def _timeout_ms(text: str | None) -> int:
    if text is None:
        return const.REQUEST_TIMEOUT_DEFAULT_MS
    if not text.isdecimal() or not text.isascii() or len(text) > _TIMEOUT_DIGITS_MAX:
        raise _BadRequestError
    return min(int(text), const.REQUEST_TIMEOUT_MAX_MS)


def _key_digest(request: caller_request.CallerRequest) -> str | None:
    text = request.header_value(b'authorization')
    if text is None or not text.lower().startswith(_BEARER):
        return None
    key = text[len(_BEARER) :].strip()
    return hashlib.sha256(key.encode('latin-1')).hexdigest() if key else None
