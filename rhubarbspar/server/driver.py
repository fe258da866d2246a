"""Effect driver: feeds events to the reducer one at a time and carries out its effects."""

import collections
import typing
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar.components.shutdown import models as shutdown_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import reducer
from rhubarbspar.core import state as core_state
from rhubarbspar.helpers import logs
from rhubarbspar.storage import store as store_client
from rhubarbspar.server import backend
from rhubarbspar.server import caller_http
from rhubarbspar.server import metrics


class PeerTransport(typing.Protocol):
    """Carries out effects on the connections to peers."""

    def apply(self, effect: effects.Effect) -> bool:
        """Send a message, or open or close a connection."""


class Driver:
    """Feeds events to the reducer and passes its effects to the I/O components."""

    def __init__(
        self,
        state: core_state.State,
        clock_ms: abc.Callable[[], float],
        counters: metrics.Metrics,
        stop: abc.Callable[[], None],
        stop_accepting: abc.Callable[[], None],
    ) -> None:
        """Create a driver; ``connect`` sets its I/O components."""
        self.state = state
        self._clock_ms = clock_ms
        self._counters = counters
        self._stop = stop
        self._stop_accepting = stop_accepting
        self._queue: collections.deque[events.Event] = collections.deque()
        self._processing = False
        self._callers: caller_http.CallerService
        self._backends: backend.BackendClient
        self._store: store_client.StoreClient
        self._transport: PeerTransport

    def connect(
        self,
        callers: caller_http.CallerService,
        backends: backend.BackendClient,
        store: store_client.StoreClient,
        transport: PeerTransport,
    ) -> None:
        """Set the I/O components that carry out effects."""
        self._callers = callers
        self._backends = backends
        self._store = store
        self._transport = transport

    def deliver(self, event: events.Event) -> None:
        """Queue an event and handle the queue, unless that is under way already."""
        self._queue.append(event)
        if self._processing:
            return
        self._processing = True
        self._process_queue()
        self._processing = False

    def report(self, effect: effects.Effect) -> None:
        """Write a log line or increment a counter, also for events outside the reducer."""
        match effect:
            case effects.Count():
                self._counters.count(effect)
            case effects.Log():
                logs.write(self.state.membership.own.instance_id, effect)

    def _process_queue(self) -> None:
        while self._queue:
            event = self._queue.popleft()
            self._handle(event)

    def _handle(self, event: events.Event) -> None:
        try:
            reduced_effects = reducer.reduce(self.state, event, self._clock_ms())
        except Exception as error:  # noqa: BLE001
            # An exception in the handling of one event must not end the process.
            self._report_exception('reducer_failed', type(event).__name__, error)
            return
        self._callers.stopping = self.state.shutdown.phase != shutdown_models.Phase.RUNNING
        for effect in reduced_effects:
            self._carry_out_guarded(effect)

    def _carry_out_guarded(self, effect: effects.Effect) -> None:
        try:
            self._carry_out(effect)
        except Exception as error:  # noqa: BLE001
            # The other effects of the same event must still be carried out.
            name = type(effect).__name__
            self._report_exception('effect_failed', name, error)

    def _report_exception(self, event_name: str, subject: str, error: Exception) -> None:
        fields = (('subject', subject), ('error', repr(error)))
        self.report(effects.Log(event_name, fields))
        self.report(effects.Count(package_const.METRIC_EVENTS, event_name))

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case effects.Respond(request_id, outcome):
                self._callers.respond(request_id, outcome)
            case effects.StartAttempt():
                self._backends.start(effect)
            case effects.CancelAttempt(attempt_id):
                self._backends.cancel(attempt_id)
            case effects.AnswerLookup():
                self._callers.answer_lookup(effect)
            case effects.Count() | effects.Log():
                self.report(effect)
            case effects.ExitProcess():
                self._stop()
            case effects.StopAccepting():
                self._stop_accepting()
            case (
                effects.SendMessage()
                | effects.Broadcast()
                | effects.DialPeer()
                | effects.ClosePeer()
            ):
                self._transport.apply(effect)
            case (
                effects.LeaseGrant()
                | effects.LeaseRenew()
                | effects.StoreGet()
                | effects.StoreTransaction()
                | effects.StoreUnwatch()
                | effects.StoreWatch()
            ):
                self._store.submit(effect)
