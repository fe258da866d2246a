"""HTTP endpoints for operators: metrics, status, configuration pushes and planned stops."""

import hmac
import json
import typing
from collections import abc

from twisted.web import http
from twisted.web import resource
from twisted.web import server

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.configuration import reducer as configuration_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state
from rhubarbspar.server import metrics

Clock = abc.Callable[[], float]
Deliver = abc.Callable[[events.Event], None]

# Python refuses to convert strings of more than 4,300 digits to an integer.
_REVISION_DIGITS_MAX = 18


class AdminRequest(server.Request):
    """A request of an operator; its response has no ``Server`` header."""

    def render(self, resrc: resource.Resource) -> None:
        """Remove the ``Server`` header and render the resource."""
        self.responseHeaders.removeHeader(b'server')
        super().render(resrc)

    def header_value(self, name: bytes) -> bytes:
        """Return a header's last value, or ``b''``.

        Unlike ``getHeader`` it accepts bytes that are not UTF-8.
        """
        texts = self.requestHeaders.getRawHeaders(name)
        return texts[-1] if texts else b''


class AdminSite(server.Site):
    """HTTP server of the admin address, without an access log."""

    def __init__(self, root: resource.Resource) -> None:
        """Serve the resources below ``root``."""
        super().__init__(root, requestFactory=AdminRequest, logPath=None)


class MetricsResource(resource.Resource):
    """Serves the counters of the instance in the Prometheus exposition format."""

    isLeaf = True  # noqa: N815, WPS115

    def __init__(self, counters: metrics.Metrics) -> None:
        """Serve ``counters``."""
        super().__init__()
        self._counters = counters

    def render_GET(self, request: AdminRequest) -> bytes:  # noqa: N802
        """Return all counters in the format that the ``Accept`` header asks for."""
        accept = request.header_value(b'accept').decode('latin-1') or 'text/plain'
        body, headers = self._counters.render(accept)
        for name, text in headers.items():
            request.setHeader(name, text)
        return body


class OperatorResource(resource.Resource):
    """Base of resources that require the operator key."""

    isLeaf = True  # noqa: N815, WPS115

    def __init__(self, operator_key: str) -> None:
        """Require ``operator_key`` as the bearer token."""
        super().__init__()
        self._operator_key = operator_key

    def is_operator(self, request: AdminRequest) -> bool:
        """Return whether the request carries the operator key; if not, set the status 401."""
        sent = request.header_value(b'authorization')
        expected = f'Bearer {self._operator_key}'
        if hmac.compare_digest(sent, expected.encode()):
            return True
        request.setResponseCode(http.UNAUTHORIZED)
        return False


class StatusResource(OperatorResource):
    """Serves a JSON summary of the state of this instance."""

    def __init__(self, operator_key: str, state: core_state.State, clock_ms: Clock) -> None:
        """Summarize ``state`` at the time of each request."""
        super().__init__(operator_key)
        self._state = state
        self._clock_ms = clock_ms

    def render_GET(self, request: AdminRequest) -> bytes:  # noqa: N802
        """Return the summary as JSON, or nothing without the operator key."""
        if not self.is_operator(request):
            return b''
        request.setHeader('content-type', 'application/json')
        return json.dumps(summary(self._state, self._clock_ms())).encode()


class ConfigurationResource(OperatorResource):
    """Receives a configuration that the store has accepted, so that it arrives sooner."""

    def __init__(self, operator_key: str, deliver: Deliver) -> None:
        """Deliver each pushed document as a ``ConfigurationPushed`` event."""
        super().__init__(operator_key)
        self._deliver = deliver

    def render_POST(self, request: AdminRequest) -> bytes:  # noqa: N802
        """Accept a document and its revision (header ``Configuration-Revision``)."""
        if not self.is_operator(request):
            return b''
        revision = request.header_value(b'configuration-revision')
        if not revision.isdigit() or len(revision) > _REVISION_DIGITS_MAX:
            request.setResponseCode(http.BAD_REQUEST)
            return b''
        content = request.content
        document = b'' if content is None else content.read()
        self._deliver(configuration_models.ConfigurationPushed(int(revision), document))
        request.setResponseCode(http.ACCEPTED)
        return b''


class DrainResource(OperatorResource):
    """Starts the planned stop of this instance."""

    def __init__(self, operator_key: str, request_stop: abc.Callable[[], None]) -> None:
        """Start the stop by calling ``request_stop``."""
        super().__init__(operator_key)
        self._request_stop = request_stop

    def render_POST(self, request: AdminRequest) -> bytes:  # noqa: N802
        """Start the planned stop and answer 202."""
        if not self.is_operator(request):
            return b''
        self._request_stop()
        request.setResponseCode(http.ACCEPTED)
        return b''


def parent_resource(children: dict[bytes, typing.Any]) -> typing.Any:
    """Return a resource without content that routes to its children by path segment."""
    parent: typing.Any = resource.Resource()
    for name, child in children.items():
        parent.putChild(name, child)
    return parent


def summary(state: core_state.State, now_ms: float) -> dict[str, effects.FieldValue | list[str]]:
    """Return the JSON members of the status endpoint."""
    configuration = state.configuration.current
    return {
        'failure_domain': state.membership.own.failure_domain,
        'instance_id': state.membership.own.instance_id,
        'keys_usable': configuration_reducer.keys_usable(state, now_ms),
        'owned_servers': sorted(state.routing.servers),
        'peers': sorted(state.membership.peers),
        'pending_requests': len(state.admission.pending),
        'phase': state.shutdown.phase.value,
        'revision': 0 if configuration is None else configuration.revision,
    }
