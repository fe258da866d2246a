"""Backend servers of the site: slots, a queue, cold starts, and ways to fail."""

import collections
import math

from twisted.internet import task

from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server
from tests.soak import backends
from tests.soak import models
from tests.soak import sites

LOST_S = 4.5
_LIMITS = server.Limits(16_384, 1_048_576, 3000, sites.SERVER_IDLE_S * 1000)
_NOT_RUN = (b'x-rhubarbspar-not-executed', b'1')


class _Site(server.Site):
    """Resets connections beyond the cap of the service."""

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a connection, ``None`` to reset it."""
        if len(self.channels) >= sites.CONNECTIONS_MAX:
            return None
        return super().buildProtocol(addr)


class _Job:
    """A request in the queue or in a slot."""

    def __init__(self, exchange, attempt_id, due_s):
        self.exchange = exchange
        self.attempt_id = attempt_id
        self.due_s = due_s
        self.run = None
        self.timer = None


class Server(backends.Backend):
    """One backend server with slots and a queue.

    Attributes
    ----------
    answers_lost, garbled, refused, failed
        Shares of the responses that are lost, damaged, refused or failures.
    lost_how, garbled_how
        Variants of the first two.
    """

    def __init__(self, world, route, number, domain, version='v1'):
        """Start and register."""
        self._world = world
        self._route = route
        self.version = version
        self.domain = domain
        self.slots = math.ceil(sites.SLOTS * world.options.factor)
        self.slow_factor = 1.0
        self.answers_lost = self.garbled = self.refused = self.failed = 0.0
        self.lost_how = self.garbled_how = ''
        self.is_up = False
        self.is_leaving = False
        self.cold_until_s = 0.0
        super().__init__(
            world.reactor,
            world.store,
            world.ledger,
            world.clock_s,
            route.service_id,
            number,
            domain,
        )
        self._beat = task.LoopingCall(self._heartbeat)
        self._beat.clock = world.reactor
        self._beat.start(sites.HEARTBEAT_S, now=False)

    @property
    def service_id(self):
        """Return the service."""
        return self._service_id

    def start(self):
        """Start a new incarnation under a new id; it is cold unless the day has just begun."""
        self._queue = collections.deque()
        self._jobs = set()
        self._last_ids = collections.deque(maxlen=20)
        self.is_up = True
        self.is_leaving = False
        if self._clock_s() > sites.LEAD_S / 2:
            self.cold_until_s = self._clock_s() + sites.COLD_S
        super().start()

    def make_site(self):
        """Return the factory of the connections."""
        return _Site(self._receive, lambda: _LIMITS, lambda: self._clock_s() * 1000)

    def register(self, state):
        """Write the registration, as far as the store takes it."""
        self.is_leaving = state == 'draining'
        if self._store.is_reachable:
            super().register(state)
        elif state == 'draining':
            self._world.later(0.5, lambda: self.is_up and self.register(state))

    def entry(self, state):
        """Return the registration."""
        cold_ms = max(0, int((self.cold_until_s - self._clock_s()) * 1000))
        fields = {'version': self.version, 'slots': self.slots, 'coldRemaining': f'{cold_ms}ms'}
        return {**super().entry(state), **fields}

    def crash(self):
        """End at once; the registration lapses later."""
        if not self.is_up:
            return
        self.is_up = False
        for job in tuple(self._jobs):
            job.run.is_sound = False
            self._finish(job)
        self._queue.clear()
        self._site.abort()
        self._listener.stopListening()
        gone = f'servers/{self.server_id}'
        self._world.later(LOST_S, lambda: self._store.delete(gone))

    def leave(self, then=None):
        """Report that the server leaves, serve for the drain time, and end."""
        self.register('draining')
        gone = f'servers/{self.server_id}'

        def end():
            self.crash()
            self._store.delete(gone)
            if then is not None:
                self._world.later(0.5, then)

        self._world.later(models.DRAIN_S + 0.7, end)

    def close(self):
        """Stop listening."""
        self._beat.stop()
        self.is_up = False
        return super().close()

    def _heartbeat(self):
        if self.is_up and not self.is_leaving:
            self.register('ready')
            self._site.close_expired()

    def _receive(self, exchange):
        headers = exchange.request.headers
        if exchange.request.target == b'/health':
            exchange.respond(messages.Response(200, self._load()))
            return
        attempt_id = backends.text_of(headers, b'x-rhubarbspar-attempt-id')
        if backends.text_of(headers, b'x-rhubarbspar-target-instance') not in {
            None,
            self.server_id,
        }:
            exchange.respond(messages.Response(421, (_NOT_RUN, *self._load())))
            return
        if attempt_id is None:
            exchange.respond(messages.Response(400, (_NOT_RUN, *self._load())))
            return
        now_s = self._clock_s()
        left_ms = backends.text_of(headers, b'x-rhubarbspar-deadline-ms')
        self._ledger.arrivals.append(
            models.Arrival(
                attempt_id,
                self.server_id,
                now_s,
                self._service_id,
                self.domain,
                self.version,
                now_s < self.cold_until_s,
            )
        )
        is_full = len(self._jobs) + len(self._queue) >= self.slots * (1 + sites.QUEUE_PER_SLOT)
        if is_full or self._world.rng.random() < self.refused:
            exchange.respond(messages.Response(503, (_NOT_RUN, *self._load())))
            return
        due_s = now_s + float(left_ms or 5000) / 1000
        job = _Job(exchange, attempt_id, due_s)
        exchange.on_abandoned = lambda: self._drop(job)
        self._queue.append(job)
        self._start_jobs()

    def _start_jobs(self):
        while self._queue and len(self._jobs) < self.slots:
            job = self._queue.popleft()
            now_s = self._clock_s()
            if now_s > job.due_s:
                job.exchange.respond(messages.Response(503, (_NOT_RUN, *self._load())))
                continue
            self._jobs.add(job)
            headers = job.exchange.request.headers
            job.run = models.Run(
                job.attempt_id,
                self.server_id,
                now_s,
                backends.text_of(headers, b'x-rhubarbspar-tenant'),
                messages.find_header(headers, b'authorization') is not None,
                service_id=self._service_id,
                version=self.version,
                path=job.exchange.request.target.decode(),
            )
            self._ledger.runs.append(job.run)
            if self.endless:
                job.run.is_sound = False
                self._write_without_end(job.exchange, job.attempt_id)
                job.timer = self._reactor.callLater(5.0, self._finish, job)
                continue
            job.timer = self._reactor.callLater(self._draw_work_s(), self._respond, job)

    def _draw_work_s(self):
        work_s = self._world.rng.gauss(self._route.work_s, 0.15 * self._route.work_s)
        if self._clock_s() < self.cold_until_s:
            work_s *= sites.COLD_FACTOR
        return max(0.02, work_s) * self.slow_factor

    def _drop(self, job):
        """Stop work on a request whose connection has closed."""
        if job in self._queue:
            self._queue.remove(job)
        elif job in self._jobs:
            self._finish(job)

    def _finish(self, job):
        self._jobs.discard(job)
        job.run.ended_s = self._clock_s()
        if job.timer is not None and job.timer.active():
            job.timer.cancel()
        if self.is_up:
            self._start_jobs()

    def _respond(self, job):
        self._finish(job)
        run = job.run
        rng = self._world.rng
        transport = job.exchange._channel.transport
        if rng.random() < self.answers_lost:
            run.is_sound = False
            if self.lost_how == 'reset':
                transport.abortConnection()
            return
        run.status = 500 if rng.random() < self.failed else 200
        response = messages.Response(
            run.status, self._headers(run), models.answer(run.attempt_id, run.path)
        )
        is_garbled = rng.random() < self.garbled
        if is_garbled and self.garbled_how == 'truncated':
            run.is_sound = False
            head = messages.serialize_response_head(response, to_head=False, close=False)
            transport.write(head + response.body[:10])
            transport.loseConnection()
            return
        job.exchange.respond(response)
        self._last_ids.append(run)
        if is_garbled:
            self._garble(transport)

    def _garble(self, transport):
        """Send more than the response: another response, at once or later, or bytes of none."""
        former = self._last_ids[0]
        other = messages.Response(
            200, self._headers(former), models.answer(former.attempt_id, former.path)
        )
        extra = messages.serialize_response_head(other, to_head=False, close=False) + other.body
        match self.garbled_how:
            case 'late':
                self._reactor.callLater(0.15, _write, transport, extra)
            case 'unframed':
                transport.write(b'\x00\xffno response\r\n' * 20)
            case _:
                transport.write(extra)

    def _headers(self, run):
        leaving = ((b'connection', b'close'),) if self.is_leaving else ()
        return (
            (b'x-rhubarbspar-attempt-id', run.attempt_id.encode()),
            (b'x-rhubarbspar-response-seal', f'{run.attempt_id}.{run.status}'.encode()),
            (b'keep-alive', b'timeout=%d' % sites.SERVER_IDLE_S),
            *leaving,
            *self._load(),
        )

    def _load(self):
        load = b'%d,%d,%d' % (len(self._jobs), len(self._queue), self.slots)
        return (
            (b'x-rhubarbspar-server-load', load),
            (b'x-rhubarbspar-instance-id', self.server_id.encode()),
        )


def _write(transport, content):
    if transport.connected:
        transport.write(content)
