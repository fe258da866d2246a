"""One backend server: slots, load report, slow start, drains, crashes."""

import collections
import dataclasses
import random
import typing
from collections import abc

from twisted.internet import error as internet_error

from rhubarbspar.standins import answers
from rhubarbspar.standins import backend_models
from rhubarbspar.standins import const
from rhubarbspar.standins import exchanges
from rhubarbspar.standins import web

VersionFaults = dict[str, backend_models.VersionFault]


@dataclasses.dataclass(eq=False, slots=True)
class _Work:
    """A running request."""

    exchange: exchanges.Exchange
    token: str
    failing: bool
    timer: typing.Any = None


class BackendServer:
    """Serves all paths; ``GET /load`` reports its load.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    settings
        How it behaves.
    journal
        Records its requests.
    version_faults
        Faults of versions, shared by all servers of the process.
    randomness
        Source of jitter and of the requests that a bad version fails.
    clock
        Its time governs everything that takes time; the reactor if omitted.
    """

    def __init__(
        self,
        reactor: web.Reactor,
        settings: backend_models.ServerSettings,
        journal: backend_models.Journal,
        version_faults: VersionFaults,
        randomness: random.Random,
        clock: web.Reactor | None = None,
    ) -> None:
        """Listen nowhere yet."""
        self.report = backend_models.ServerReport()
        self.service = web.Service(reactor, self._receive, clock=clock)
        self.settings = settings
        self._clock = clock or reactor
        self._drain_started_s: float | None = None
        self._first_request_s: float | None = None
        self._journal = journal
        self._loads: collections.deque[tuple[float, int]] = collections.deque([(0.0, 0)])
        self._randomness = randomness
        self._restart: typing.Any = None
        self._version_faults = version_faults
        self._work: set[_Work] = set()

    def start(self) -> int:
        """Listen and return the port; the server is cold."""
        self._first_request_s = None
        return self.service.listen(self.service.port or self.settings.port)

    def close(self) -> typing.Any:
        """Stop for good; running requests end without an answer."""
        if self._restart is not None and self._restart.active():
            self._restart.cancel()
        self._drop_work()
        return self.service.close()

    def change(self, settings: backend_models.ServerSettings) -> None:
        """Change the behaviour; a drain begins when ``draining`` is set."""
        if settings.draining and not self.settings.draining:
            self._drain_started_s = self._clock.seconds()
            self.report.idle_after_drain_ms = None if self._work else 0.0
        if not settings.draining:
            self._drain_started_s = None
        self.settings = settings

    def crash(self) -> None:
        """Drop all connections and be gone for a while."""
        self.report.crashes += 1
        self._drop_work()
        self.service.close()
        delay_s = self.settings.crash_ms / const.MS_PER_S
        self._restart = self._clock.callLater(delay_s, self._return)

    def _return(self) -> None:
        try:
            self.start()
        except internet_error.CannotListenError:
            # An outgoing connection may have been given the port in the meantime.
            delay_s = const.RETURN_RETRY_MS / const.MS_PER_S
            self._restart = self._clock.callLater(delay_s, self._return)

    def _receive(self, exchange: exchanges.Exchange) -> None:
        if exchange.path == const.PATH_LOAD:
            exchange.answer_json(self._load())
        elif len(self._work) >= self.settings.slots:
            self.report.shed += 1
            refusal = ((const.HEADER_REQUEST_RUN, const.RUN_NOT_RUN),)
            exchange.answer(b'{"reason": "full"}', const.HTTP_UNAVAILABLE, refusal)
        else:
            self._execute(exchange)

    def _load(self) -> dict[str, object]:
        busy_slots = self.settings.reported_busy_slots
        if busy_slots is None:
            until_s = self._clock.seconds() - self.settings.load_lag_ms / const.MS_PER_S
            while len(self._loads) > 1 and self._loads[1][0] <= until_s:
                self._loads.popleft()
            busy_slots = self._loads[0][1]
        return {
            'busy_slots': busy_slots,
            'draining': self.settings.draining,
            'healthy': self.settings.healthy,
        }

    def _execute(self, exchange: exchanges.Exchange) -> None:
        token = exchange.header(const.HEADER_REQUEST_TOKEN) or ''
        self._record(exchange, token)
        if exchange.header(const.HEADER_FAULT) == const.FAULT_CRASH:
            self.crash()
            return
        fault = self._version_fault(exchange)
        failing = fault is not None and fault.failing
        duration_ms = self._duration_ms()
        if fault is not None:
            duration_ms += fault.slow_ms
        self._begin(_Work(exchange, token, failing), duration_ms)

    def _record(self, exchange: exchanges.Exchange, token: str) -> None:
        self.report.executed += 1
        self._journal.record(exchange.method, token)
        if exchange.header(const.HEADER_AUTHORIZATION) is not None or _has_access_key(exchange):
            self._journal.authorization_requests += 1
        if self._drain_started_s is not None:
            self.report.work_after_drain_ms = self._since_ms(self._drain_started_s)

    def _begin(self, work: _Work, duration_ms: float) -> None:
        self._work.add(work)
        self._note_load()
        self.report.max_busy_slots = max(self.report.max_busy_slots, len(self._work))
        work.exchange.on_close(lambda: self._cancel(work))
        timeout_ms = _timeout_ms(work.exchange)
        finish: abc.Callable[[_Work], None] = self._answer
        if timeout_ms < duration_ms:
            finish = self._time_out
        delay_s = min(timeout_ms, duration_ms) / const.MS_PER_S
        work.timer = self._clock.callLater(delay_s, finish, work)

    def _answer(self, work: _Work) -> None:
        self._end(work)
        self.report.answered += 1
        if self.service.faults.lose_answers:
            work.exchange.abort()
            return
        status = const.HTTP_OK
        if work.failing:
            self.report.failed += 1
            status = const.HTTP_INTERNAL_ERROR
        body = answers.render(
            work.token,
            _size_bytes(work.exchange, self.settings.response_bytes),
            server_id=self.settings.server_id,
            version=self.settings.version,
        )
        work.exchange.answer(body, status)

    def _time_out(self, work: _Work) -> None:
        self._end(work)
        self.report.timed_out += 1
        # Without the token a caller would take it for the answer to another request.
        body = answers.render(work.token, 0, reason='deadline_exceeded')
        work.exchange.answer(body, const.HTTP_GATEWAY_TIMEOUT)

    def _cancel(self, work: _Work) -> None:
        if work in self._work:
            work.timer.cancel()
            self.report.cancelled += 1
            self._end(work)

    def _end(self, work: _Work) -> None:
        self._work.discard(work)
        self._note_load()
        if self._drain_started_s is not None and not self._work:
            self.report.idle_after_drain_ms = self._since_ms(self._drain_started_s)

    def _drop_work(self) -> None:
        for work in self._work:
            work.timer.cancel()
        self._work.clear()
        self._note_load()

    def _note_load(self) -> None:
        self._loads.append((self._clock.seconds(), len(self._work)))
        if len(self._loads) > const.LOAD_HISTORY_LENGTH:
            self._loads.popleft()

    def _duration_ms(self) -> float:
        if self._first_request_s is None:
            self._first_request_s = self._clock.seconds()
        coldness = 0.0
        if self.settings.warm_up_ms:
            warm_share = self._since_ms(self._first_request_s) / self.settings.warm_up_ms
            coldness = max(0.0, 1 - warm_share)
        factor = 1 + (self.settings.cold_factor - 1) * coldness
        variation = self._randomness.uniform(-1, 1) * self.settings.jitter_share
        return self.settings.service_time_ms * factor * (1 + variation)

    def _version_fault(self, exchange: exchanges.Exchange) -> backend_models.VersionFault | None:
        fault = self._version_faults.get(self.settings.version)
        if fault is None or not exchange.path.startswith(fault.path):
            return None
        if len(self._work) < fault.min_busy_slots or self._randomness.random() >= fault.share:
            return None
        return fault

    def _since_ms(self, start_s: float) -> float:
        return (self._clock.seconds() - start_s) * const.MS_PER_S


def _timeout_ms(exchange: exchanges.Exchange) -> float:
    try:
        return float(exchange.header(const.HEADER_TIMEOUT_MS) or 'inf')
    except ValueError:
        return float('inf')


def _size_bytes(exchange: exchanges.Exchange, default: int) -> int:
    wanted = exchange.argument('size_bytes', '')
    return int(wanted) if wanted.isdecimal() else default


def _has_access_key(exchange: exchanges.Exchange) -> bool:
    return any('Bearer ' in field for field in exchange.header_values())
