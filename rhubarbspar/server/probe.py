"""Probe the load endpoints of the backend servers that this instance owns."""

import dataclasses
import json
import typing
from collections import abc

from twisted.internet import defer
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers

from rhubarbspar.core import events
from rhubarbspar.storage import agents
from rhubarbspar.storage import bodies
from rhubarbspar.server import connections
from rhubarbspar.server import const


class LoadProber:
    """Requests load reports from backend servers and remembers the last one of each."""

    def __init__(
        self,
        reactor: typing.Any,
        deliver: abc.Callable[[events.Event], None],
        clock: typing.Any = None,
    ) -> None:
        """Create a prober with its own pool; ``clock`` drives timeouts (default: reactor)."""
        self._clock = clock or reactor
        self._deliver = deliver
        self._pending: set[str] = set()
        self._last_reports: dict[str, events.LoadReported] = {}
        self._connections = connections.ConnectionPool(reactor)

    def probe(self, server_id: str, address: str) -> None:
        """Request one load report, unless the previous request is still pending."""
        if server_id in self._pending:
            return
        self._pending.add(server_id)
        report = self._connections.send(address, _make_request(address))
        report.addErrback(self._retry, address)
        report.addCallback(_collect)
        report.addTimeout(const.LOAD_PROBE_TIMEOUT_S, self._clock)
        report.addCallback(_parse, server_id)
        report.addCallbacks(self._remember, lambda _: self._unhealthy_report(server_id))
        report.addCallback(self._deliver_report, server_id)

    def _retry(self, reason: failure.Failure, address: str) -> typing.Any:
        """Retry on a new connection: a server may close an idle one at any moment."""
        unanswered = reason.check(client.ResponseNeverReceived, client.RequestTransmissionFailed)
        if unanswered is None or agents.is_timeout(reason.value or defer.TimeoutError()):
            return reason
        return self._connections.send_on_new(address, _make_request(address))

    def _remember(self, event: events.LoadReported) -> events.LoadReported:
        self._last_reports[event.server_id] = event
        return event

    def _unhealthy_report(self, server_id: str) -> events.LoadReported:
        """Return the last report as unhealthy, so that a failed probe never ends a drain."""
        last = self._last_reports.get(server_id, events.LoadReported(server_id, 0, False, False))
        return dataclasses.replace(last, healthy=False)

    def _deliver_report(self, event: events.LoadReported, server_id: str) -> None:
        self._pending.discard(server_id)
        self._deliver(event)


def _make_request(address: str) -> typing.Any:
    return connections.make_request(address, 'GET', '/load', http_headers.Headers())


def _collect(response: typing.Any) -> 'defer.Deferred[bytes]':
    collector = bodies.BodyCollector(const.LOAD_REPORT_MAX_BYTES)
    response.deliverBody(collector)
    return collector.completed


def _parse(body: bytes, server_id: str) -> events.LoadReported:
    raw = json.loads(body)
    busy_slots = raw['busy_slots']
    draining = raw['draining']
    healthy = raw['healthy']
    flags_valid = isinstance(draining, bool) and isinstance(healthy, bool)
    # A bool is also an int in Python.
    count_valid = isinstance(busy_slots, int) and not isinstance(busy_slots, bool)
    if not flags_valid or not count_valid or busy_slots < 0:
        raise ValueError(server_id)
    return events.LoadReported(server_id, busy_slots, draining, healthy)
