"""Callers that look up instances, keep their connections and repeat as the protocol permits."""

import json

from twisted.internet import defer
from twisted.internet import task

from rhubarbspar.http1 import client
from rhubarbspar.http1 import messages
from tests.soak import models
from tests.soak import proxy

DEADLINE_MS = 3000
LOOKUP_S = 1.0
PAUSE_S = 0.08
_CONNECT_MS = 1000


class Caller:
    """Sends one request after the other; keeps an open connection until its instance is gone.

    Parameters
    ----------
    fleet
        The instances, as ``instances.Fleet``.
    """

    def __init__(self, reactor, fleet, ledger, clock_s, rng, name, key):
        """Start nothing yet."""
        self._reactor = reactor
        self._fleet = fleet
        self._ledger = ledger
        self._clock_s = clock_s
        self._rng = rng
        self._name = name
        self._key = key
        self._pools = {}
        self._known = []
        self._looked_up_s = -LOOKUP_S
        self._count = 0

    async def run(self, until_s):
        """Send requests until a time."""
        while self._clock_s() < until_s:
            await self._look_up()
            if self._known:
                await self._send(self._rng.choice(self._known))
            await task.deferLater(self._reactor, self._rng.uniform(0.5, 1.5) * PAUSE_S)
        for pool in self._pools.values():
            pool.close()

    async def _look_up(self):
        if self._clock_s() - self._looked_up_s < LOOKUP_S and self._known:
            return
        for number in self._rng.sample(range(self._fleet.size), 3):
            port = self._fleet.directory_port(number)
            target = b'/resolve?name=shop.example&region=almaty&zone=almaty-a'
            outcome = await self._exchange(port, messages.Request(b'GET', target, _HOST), 1.0)
            if isinstance(outcome, messages.Response) and outcome.status == 200:
                named = json.loads(outcome.body).get('frontAddresses', ())
                found = [self._fleet.by_address(address) for address in named]
                if found:
                    self._known = found
                    self._looked_up_s = self._clock_s()
                    return

    async def _send(self, number):
        self._count += 1
        attempt_id = f'{self._name}-{self._count}'
        idempotent = self._rng.random() < 0.6
        method, path = (b'GET', b'/stock/1') if idempotent else (b'POST', b'/orders/1')
        headers = (
            *_HOST,
            (b'authorization', f'Bearer {self._key}'.encode()),
            (b'x-rhubarbspar-attempt-id', attempt_id.encode()),
            (b'x-rhubarbspar-deadline-ms', b'%d' % DEADLINE_MS),
        )
        record = models.Sent(attempt_id, idempotent, self._key, number, self._clock_s())
        self._ledger.sent[attempt_id] = record
        request = messages.Request(method, path, headers)
        outcome = await self._exchange(
            self._fleet.caller_port(number), request, DEADLINE_MS / 1000, record
        )
        record.ended_s = self._clock_s()
        if isinstance(outcome, messages.Response):
            record.status = outcome.status
            record.body = outcome.body

    async def _exchange(self, port, request, timeout_s, record=None):
        pool = self._pools.get(port)
        if pool is None:
            endpoint = client.Endpoint(proxy.HOST, port)
            pool = client.Pool(self._reactor, endpoint, lambda: self._clock_s() * 1000, 12_000)
            self._pools[port] = pool
        finished = defer.Deferred()
        call = client.Call(request, finished.callback)
        pool.start(call, _CONNECT_MS)
        if record is not None:
            record.reused = call.reused
        timer = self._reactor.callLater(timeout_s, _give_up, call, finished)
        outcome = await finished
        if timer.active():
            timer.cancel()
        return outcome


def _give_up(call, finished):
    call.cancel()
    if not finished.called:
        finished.callback(None)


_HOST = ((b'host', b'shop.example'),)
