"""Connect the reducer with I/O: events in, effects out, one at a time."""

import collections
import dataclasses
import typing
from collections import abc

import loguru
from twisted.internet import defer

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import backend_client
from rhubarbspar.gateway import caller_requests
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import log_stream
from rhubarbspar.gateway import reducer
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway import store_tasks
from rhubarbspar.helpers import logs
from rhubarbspar.server import metrics


class PeerTransport(typing.Protocol):
    """Carries out effects on peers."""

    def apply(self, effect: core_effects.Effect) -> bool:
        """Send a message, dial or close."""


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Actions on the process itself."""

    close_idle_callers: abc.Callable[[], None]
    stop_listening: abc.Callable[[], None]
    exit: abc.Callable[[], None]


class Driver:
    """Feeds events to the reducer and hands its effects to I/O."""

    def __init__(
        self,
        state: gateway_state.State,
        clock_ms: abc.Callable[[], float],
        counters: metrics.Metrics,
        process: Process,
    ) -> None:
        """Create a driver; the parts that do I/O are set with ``connect``."""
        self.state = state
        self.transport: PeerTransport | None = None
        self._clock_ms = clock_ms
        self._counters = counters
        self._process = process
        self._queue: collections.deque[core_events.Event] = collections.deque()
        self._running = False
        self._callers: caller_requests.CallerRequests
        self._backends: backend_client.BackendClient
        self._store: store_tasks.StoreTasks
        self._routine_lines = _line_budget(log_stream.ROUTINE_LINES_PER_S)
        self._other_lines = _line_budget(log_stream.OTHER_LINES_PER_S)

    def connect(
        self,
        caller_side: caller_requests.CallerRequests,
        backend_side: backend_client.BackendClient,
        store_side: store_tasks.StoreTasks,
    ) -> None:
        """Set the parts that carry out effects."""
        self._callers = caller_side
        self._backends = backend_side
        self._store = store_side

    def deliver(self, event: core_events.Event) -> None:
        """Handle an event, after those that were delivered before."""
        self._queue.append(event)
        if self._running:
            return
        self._running = True
        while self._queue:
            self._handle(self._queue.popleft())
        self._running = False

    def report(self, effect: core_effects.Effect) -> None:
        """Write a log line or count something that happened outside the reducer."""
        match effect:
            case core_effects.Count():
                self._counters.count(effect)
            case core_effects.Log():
                self._log(effect)

    def report_left_out(self) -> None:
        """Write how many log lines the bounds have left out."""
        routine = self._routine_lines.take_dropped_count()
        other = self._other_lines.take_dropped_count()
        if routine or other:
            fields = (('routine', routine), ('other', other))
            line = core_effects.Log('log_lines_left_out', fields)
            logs.write(self.state.fleet.own_member.instance_id, line)

    def _handle(self, event: core_events.Event) -> None:
        try:
            outputs = reducer.reduce(self.state, event, self._clock_ms())
        except Exception as error:  # noqa: BLE001
            # A fault in the handling of one event must not end the process.
            self._report_fault('reducer_failed', event, error)
            self._refuse_failed(event)
            return
        for effect in outputs:
            try:
                self._carry_out(effect)
            except Exception as error:  # noqa: BLE001
                # The other effects of the same event still have to be carried out.
                self._report_fault('effect_failed', effect, error)

    def _refuse_failed(self, event: core_events.Event) -> None:
        """Answer a request whose handling failed before anything was sent."""
        if isinstance(event, events.RequestReceived):
            status = const.STATUS_UNAVAILABLE
            self._callers.refuse(
                effects.Refuse(event.request.request_number, status, 'internal_error')
            )

    def _report_fault(self, name: str, subject: object, error: Exception) -> None:
        loguru.logger.opt(exception=error).error(
            'event={} subject={}', name, type(subject).__name__
        )
        self.report(core_effects.Count(package_const.METRIC_EVENTS, name))

    def _log(self, effect: core_effects.Log) -> None:
        routine = effect.name in log_stream.ROUTINE_EVENTS
        budget = self._routine_lines if routine else self._other_lines
        if budget.take(self._clock_ms()):
            logs.write(self.state.fleet.own_member.instance_id, effect)

    def _carry_out(self, effect: core_effects.Effect) -> None:
        match effect:
            case core_effects.Count() | core_effects.Log():
                self.report(effect)
            case effects.Observe():
                self._counters.observe(effect.metric, effect.service_id, effect.elapsed_ms)
            case effects.StartAttempt():
                self._start_attempt(effect)
            case effects.CancelAttempt(attempt):
                self._backends.cancel(attempt)
            case effects.RelayResponse(number, attempt):
                response = self._backends.take_response(attempt)
                if response is not None:
                    self._callers.relay(number, response)
            case effects.Refuse():
                self._callers.refuse(effect)
            case effects.ForgetServer(server_id):
                self._backends.forget(server_id)
            case _:
                self._carry_out_rare(effect)

    def _start_attempt(self, effect: effects.StartAttempt) -> None:
        request = self._callers.request(effect.request_number)
        if request is not None:
            self._backends.start(effect, request)

    def _carry_out_rare(self, effect: core_effects.Effect) -> None:
        match effect:
            case effects.WriteStatus(status):
                _start(self._store.write_status(status))
            case effects.FollowStore(enabled):
                self._store.switch_following(following=enabled)
            case effects.RefreshStore():
                self._store.refresh()
            case effects.Leave():
                _start(self._store.leave())
            case effects.CloseIdleCallers():
                self._process.close_idle_callers()
            case effects.StopListening():
                self._process.stop_listening()
            case effects.Exit():
                self._process.exit()
            case _ if self.transport is not None:
                self.transport.apply(effect)


def _line_budget(lines_per_s: float) -> log_stream.LineRateLimiter:
    return log_stream.LineRateLimiter(lines_per_s, lines_per_s)


def _start(coroutine: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    defer.Deferred.fromCoroutine(coroutine)
