"""Driver of the reducer: reduces events one at a time and carries out their effects."""

import collections
import dataclasses
import typing
from collections import abc

import loguru
from twisted.internet import defer
from twisted.python import failure

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import log_stream
from rhubarbspar.gateway import reducer
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.serving import backend_client
from rhubarbspar.gateway.serving import caller_requests
from rhubarbspar.gateway.serving import peer_forwards
from rhubarbspar.gateway.store import store_tasks
from rhubarbspar.gateway.usage import effects as usage_effects
from rhubarbspar.gateway.usage import tasks as usage_tasks
from rhubarbspar.helpers import logs
from rhubarbspar.server import metrics


class PeerTransport(typing.Protocol):
    """Carries out effects on connections to peers."""

    def apply(self, effect: core_effects.Effect) -> bool:
        """Carry out an effect on peers; return false for any other effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Callbacks that carry out the steps of a planned stop."""

    close_idle_callers: abc.Callable[[], None]
    stop_listening: abc.Callable[[], None]
    exit: abc.Callable[[], None]


_StoreEffect: typing.TypeAlias = (
    effects.WriteStatus
    | effects.FollowStore
    | effects.ReadPrefix
    | effects.RefreshStore
    | effects.Leave
)


class Driver:
    """Feeds events to the reducer and passes its effects to the parts that do I/O.

    Parameters
    ----------
    state
        State of the gateway; the reducer changes it in place.
    clock_ms
        Clock of the gateway.
    counters
        Receives counts and observations.
    process
        Carries out the steps of a planned stop.
    """

    def __init__(
        self,
        state: gateway_state.State,
        clock_ms: abc.Callable[[], float],
        counters: metrics.Metrics,
        process: Process,
    ) -> None:
        """Create a driver; ``connect`` sets the parts that do I/O before the first event."""
        self.state = state
        self.transport: PeerTransport | None = None
        self.usage: usage_tasks.UsageTasks | None = None
        self.forwards = peer_forwards.PeerForwards(self.deliver, state.fleet.own_member.instance_id)
        self._clock_ms = clock_ms
        self._counters = counters
        self._process = process
        self._queue: collections.deque[core_events.Event] = collections.deque()
        self._is_reducing = False
        self._callers: caller_requests.CallerRequests
        self._backends: backend_client.BackendClient
        self._store: store_tasks.StoreTasks
        self._routine_limiter = _line_limiter(log_stream.ROUTINE_LINES_PER_S)
        self._other_limiter = _line_limiter(log_stream.OTHER_LINES_PER_S)

    def connect(
        self,
        callers: caller_requests.CallerRequests,
        backends: backend_client.BackendClient,
        store: store_tasks.StoreTasks,
    ) -> None:
        """Set the parts that carry out effects on callers, backend servers and the store."""
        self._callers = callers
        self._backends = backends
        self._store = store

    def deliver(self, event: core_events.Event) -> None:
        """Reduce an event after those that were delivered earlier.

        An event delivered while another one is reduced waits in a queue.
        """
        self._queue.append(event)
        if self._is_reducing:
            return
        self._is_reducing = True
        while self._queue:
            self._reduce(self._queue.popleft())
        self._is_reducing = False

    def report(self, effect: core_effects.Effect) -> None:
        """Write a log line or count something that happened outside the reducer."""
        match effect:
            case core_effects.Count():
                self._counters.count(effect)
            case core_effects.Log():
                self._log(effect)

    def report_exception(self, name: str, subject: str, error: Exception) -> None:
        """Log an exception with its traceback, within the rate limit of the log, and count it."""
        self.report(core_effects.Count(package_const.METRIC_EVENTS, name))
        if self._other_limiter.take(self._clock_ms()):
            loguru.logger.opt(exception=error).error('event={} subject={}', name, subject)

    def report_dropped_lines(self) -> None:
        """Log how many lines the rate limits have dropped since the last call."""
        routine_count = self._routine_limiter.take_dropped_count()
        other_count = self._other_limiter.take_dropped_count()
        if routine_count or other_count:
            log_fields = (('routine', routine_count), ('other', other_count))
            line = core_effects.Log('log_lines_left_out', log_fields)
            logs.write(self.state.fleet.own_member.instance_id, line)

    def _reduce(self, event: core_events.Event) -> None:
        """Pass an event to the reducer and carry out its effects; log exceptions, raise none."""
        try:
            outputs = reducer.reduce(self.state, event, self._clock_ms())
        except Exception as error:  # noqa: BLE001
            # A fault while reducing one event must not end the process.
            self.report_exception('reducer_failed', type(event).__name__, error)
            self._refuse_request(event)
            return
        for effect in outputs:
            try:
                self._carry_out(effect)
            except Exception as error:  # noqa: BLE001
                # The other effects of the event still have to be carried out.
                self.report_exception('effect_failed', type(effect).__name__, error)

    def _refuse_request(self, event: core_events.Event) -> None:
        """Answer a request whose reduction failed before anything was sent."""
        if isinstance(event, events.RequestReceived):
            status = const.STATUS_UNAVAILABLE
            self._callers.refuse(
                effects.Refuse(event.request.request_number, status, 'internal_error')
            )

    def _log(self, effect: core_effects.Log) -> None:
        is_routine = effect.name in log_stream.ROUTINE_EVENTS
        limiter = self._routine_limiter if is_routine else self._other_limiter
        if limiter.take(self._clock_ms()):
            logs.write(self.state.fleet.own_member.instance_id, effect)

    def _carry_out(self, effect: core_effects.Effect) -> None:
        match effect:
            case core_effects.Count() | core_effects.Log():
                self.report(effect)
            case effects.Observe():
                self._counters.observe(effect.metric, effect.service_id, effect.elapsed_ms)
            case effects.StartAttempt():
                self._start_attempt(effect)
            case effects.CancelAttempt(attempt_number):
                self._backends.cancel(attempt_number)
            case effects.RelayResponse(request_number, attempt_number):
                response = self._backends.response(attempt_number)
                if response is not None:
                    self._callers.relay(request_number, response)
            case effects.Refuse():
                self._callers.refuse(effect)
            case effects.ForgetServer(server_id):
                self._backends.close_pool(server_id)
            case effects.StartForward() | effects.AnswerForward() | effects.ProbeServer():
                self._carry_out_link_effect(effect)
            case _:
                self._carry_out_other(effect)

    def _start_attempt(self, effect: effects.StartAttempt) -> None:
        request = self._callers.find_request(effect.request_number)
        if request is not None:
            self._backends.start(effect, request)

    def _carry_out_link_effect(
        self, effect: effects.StartForward | effects.AnswerForward | effects.ProbeServer
    ) -> None:
        match effect:
            case effects.StartForward(forward_number):
                message = self.forwards.find_message(forward_number)
                if message is not None:
                    self._backends.start_forward(effect, message)
            case effects.AnswerForward(forward_number, attempt_result, attempt_number):
                response = self._backends.response(attempt_number)
                self.forwards.answer(forward_number, attempt_result, response)
            case effects.ProbeServer():
                self._backends.probe(effect)

    def _carry_out_store_effect(self, effect: _StoreEffect) -> None:
        match effect:
            case effects.WriteStatus(status):
                self._run_in_background(self._store.write_status(status))
            case effects.FollowStore(enabled):
                self._store.switch_following(following=enabled)
            case effects.ReadPrefix(prefix):
                self._run_in_background(self._store.read_prefix(prefix))
            case effects.RefreshStore():
                self._store.reconnect()
            case effects.Leave():
                self._run_in_background(self._store.deregister())

    def _carry_out_other(self, effect: core_effects.Effect) -> None:
        match effect:
            case (
                effects.WriteStatus()
                | effects.FollowStore()
                | effects.ReadPrefix()
                | effects.RefreshStore()
                | effects.Leave()
            ):
                self._carry_out_store_effect(effect)
            case usage_effects.UsageEffect() if self.usage is not None:
                self.usage.apply(effect)
            case effects.CloseIdleCallers():
                self._process.close_idle_callers()
            case effects.StopListening():
                self._process.stop_listening()
            case effects.Exit():
                self._process.exit()
            case _ if self.transport is not None:
                self.transport.apply(effect)

    def _run_in_background(self, coroutine: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        def report(reason: failure.Failure) -> None:  # noqa: WPS430 (a callback of one call)
            if isinstance(reason.value, Exception):
                self.report_exception('call_failed', 'store', reason.value)

        defer.Deferred.fromCoroutine(coroutine).addErrback(report)


def _line_limiter(lines_per_s: float) -> log_stream.LineRateLimiter:
    return log_stream.LineRateLimiter(lines_per_s, lines_per_s)
