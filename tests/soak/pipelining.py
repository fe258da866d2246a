"""Callers that send several requests at once on a connection."""

from twisted.internet import defer
from twisted.internet import task

from tests.soak import callers
from tests.soak import connections
from tests.soak import models
from tests.soak import proxy

REQUESTS = 4


class PipeliningCaller(callers.Caller):
    """Sends idempotent requests in groups, each group on a connection of its own."""

    async def run(self, until_s):
        """Send requests until a time."""
        while self._clock_s() < until_s:
            await self._send_group(self._rng.randrange(self._fleet.size))
            await task.deferLater(self._reactor, self._rng.uniform(0.5, 1.5) * callers.LOOKUP_S)

    async def _send_group(self, number):
        port = self._fleet.caller_port(number)
        connection = connections.Connection(self._ledger, self._clock_s)
        if not await connections.connect(self._reactor, proxy.HOST, port, connection):
            return
        ended = [connection.send(*self._make(number)) for _ in range(REQUESTS)]
        timer = self._reactor.callLater(callers.DEADLINE_MS / 1000, connection.close, 'left')
        await defer.gatherResults(ended)
        if timer.active():
            timer.cancel()
        connection.close('left')

    def _make(self, number):
        self._count += 1
        attempt_id = f'{self._name}-{self._count}'
        sent = models.Sent(attempt_id, True, self._key, number, self._clock_s())
        self._ledger.sent[attempt_id] = sent
        content = (
            f'GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n'
            f'Authorization: Bearer {self._key}\r\n'
            f'X-Rhubarbspar-Attempt-Id: {attempt_id}\r\n'
            f'X-Rhubarbspar-Deadline-Ms: {callers.DEADLINE_MS}\r\n\r\n'
        )
        return sent, content.encode()
