"""Planned stops of several gateways, each while the last one's grace period still runs.

The gateways are processes. ``STOP_SERIES_SEEDS`` in the environment plays more seeds.
"""

import asyncio
import collections
import dataclasses
import json
import os
import random
import signal

import pytest
from twisted.internet import defer

from rhubarbspar.gateway import const
from rhubarbspar.http1 import messages
from tests.gateway import deployment as gateway_deployment
from tests.gateway import processes as gateway_processes

FIRST_SEED = 390_500
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get('STOP_SERIES_SEEDS', '1')))
GATEWAYS = 3
BETWEEN_STOPS_S = 0.7
WORK_MAX_S = 0.3
BODY_BYTES = 300_000
DEADLINE_MS = 3000
# Enough for all callers at once, so that none is refused for lack of them.
SLOTS = 60
ROUTES = (
    ['r-1', 'shop.example', '/stock/', 'safe', '4s', 'stock'],
    ['r-2', 'shop.example', '/orders/', 'unsafe', '4s', 'stock'],
)


@dataclasses.dataclass
class Outcome:
    """What a caller saw of a request.

    Attributes
    ----------
    path
        Its path, which no other request has.
    status
        Status of the whole response; 0 if the connection ended before it.
    """

    path: str
    status: int = 0


class Callers:
    """Callers of one gateway, which keep their connections until the gateway closes them."""

    def __init__(self, address, name, draw):
        """Use a gateway's address; ``draw`` decides on times."""
        self.outcomes = []
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._name = name
        self._draw = draw

    async def pipeline(self):
        """Send four requests at once, again and again."""
        reader, writer = await self._connect()
        while not reader.at_eof():
            sent = [self._note('/stock') for _ in range(4)]
            writer.write(b''.join(self._head('GET', outcome.path) for outcome in sent))
            if not all([await self._receive(reader, outcome) for outcome in sent]):
                break
        writer.close()

    async def stay_idle(self, until_s):
        """Send one request, and one more at a time around which idle connections close."""
        reader, writer = await self._connect()
        for pause_s in (0, until_s):
            await asyncio.sleep(pause_s)
            if reader.at_eof():
                break
            outcome = self._note('/stock')
            writer.write(self._head('GET', outcome.path))
            await self._receive(reader, outcome)
        writer.close()

    async def upload(self, until_s):
        """Send half of a body, and the rest after a time."""
        reader, writer = await self._connect()
        outcome = self._note('/orders')
        half = bytes(BODY_BYTES // 2)
        writer.write(self._head('POST', outcome.path, BODY_BYTES) + half)
        await asyncio.sleep(until_s)
        writer.write(half)
        await self._receive(reader, outcome)
        writer.close()

    async def connect_late(self, until_s):
        """Connect and send around the time at which the gateway accepts no more connections."""
        await asyncio.sleep(until_s)
        try:
            reader, writer = await self._connect()
        except ConnectionError:
            return
        outcome = self._note('/stock')
        writer.write(self._head('GET', outcome.path))
        await self._receive(reader, outcome)
        writer.close()

    def around(self, moment_ms, before_s=0.05, after_s=0.05):
        """Return a drawn time around a moment, in seconds."""
        return moment_ms / 1000 + self._draw.uniform(-before_s, after_s)

    def _connect(self):
        return asyncio.open_connection(self._host, self._port)

    def _note(self, prefix):
        outcome = Outcome(f'{prefix}/{self._name}-{len(self.outcomes)}')
        self.outcomes.append(outcome)
        return outcome

    def _head(self, method, path, body_bytes=0):
        lines = (
            f'{method} {path} HTTP/1.1',
            'Host: shop.example',
            'Authorization: Bearer key-1',
            f'X-Rhubarbspar-Deadline-Ms: {DEADLINE_MS}',
            f'Content-Length: {body_bytes}',
        )
        return ''.join(f'{line}\r\n' for line in (*lines, '')).encode()

    async def _receive(self, reader, outcome):
        """Note the status of a whole response; return whether the connection is kept."""
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).lower()
            length = int(head.partition(b'content-length: ')[2].split()[0])
            await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        outcome.status = int(head.split()[1])
        return b'connection: close' not in head


class SlowDeployment(gateway_deployment.Deployment):
    """A store and a backend server that takes some time for each request."""

    def __init__(self, loop, tmp_path, draw):
        """Start both; ``draw`` decides how long the server takes."""
        self._draw = draw
        super().__init__(loop, tmp_path)
        columns = gateway_deployment.CONFIGURATION['routes']['columns']
        routes = {'columns': columns, 'rows': ROUTES}
        configuration = {**gateway_deployment.CONFIGURATION, 'version': 'r2', 'routes': routes}
        self.store.put('op/config', json.dumps(configuration).encode())
        self.declare('ready', 2, slots=SLOTS)
        load = (b'x-rhubarbspar-server-load', b'1,0,%d' % SLOTS)
        self.server_headers = (*gateway_deployment.SERVER_HEADERS[:1], load)

    async def until_ready(self, gateways):
        """Wait until all gateways are ready."""
        for gateway in gateways:
            while not await self._is_ready(gateway.addresses['ready']):
                await self.loop.wait(0.05)

    async def _is_ready(self, address):
        outcome = await self.call_address(address, b'/readiness')
        return isinstance(outcome, messages.Response) and outcome.status == const.STATUS_OK

    def _serve(self, exchange):
        self.received.append(exchange.request)
        response = messages.Response(const.STATUS_OK, self.server_headers, b'in stock')
        self.loop.reactor.callLater(self._draw.uniform(0, WORK_MAX_S), exchange.respond, response)


@pytest.fixture
def draw(seed):
    """Return the random numbers of a run."""
    return random.Random(seed)


@pytest.fixture
def deployment(loop, tmp_path, draw):
    """Return a store and a backend server."""
    created = SlowDeployment(loop, tmp_path, draw)
    yield created
    loop.run(created.close())


@pytest.fixture
def gateways(deployment, tmp_path):
    """Return gateways whose processes run."""
    created = [
        gateway_processes.Processes(tmp_path, f'stopped-{number}', deployment.store.address)
        for number in range(GATEWAYS)
    ]
    yield created
    for gateway in created:
        gateway.close()


async def stop(loop, process, callers, wait_s):
    """Stop a process after a time, with callers around each step; return its exit code."""
    await loop.wait(wait_s)
    around = callers.around
    running = [asyncio.ensure_future(callers.pipeline()) for _ in range(3)]
    running += [
        asyncio.ensure_future(callers.stay_idle(around(const.STOP_CLOSE_IDLE_AFTER_MS)))
        for _ in range(6)
    ]
    await loop.wait(0.01)
    process.send_signal(signal.SIGTERM)
    running += [asyncio.ensure_future(callers.upload(around(1000, 0.9, 1.5))) for _ in range(3)]
    running += [
        asyncio.ensure_future(callers.connect_late(around(const.STOP_REFUSE_AFTER_MS, 0.1, 0.1)))
        for _ in range(6)
    ]
    await defer.Deferred.fromFuture(asyncio.gather(*running))
    return await loop.until(lambda: process.poll() is not None and [process.returncode])


@pytest.mark.parametrize('seed', SEEDS)
def test_no_request_is_cut_by_planned_stops_in_series(loop, deployment, gateways, draw):
    """Guards against requests that were passed on, and get no answer as their gateway stops.

    Callers pipeline requests, wait on idle connections, upload slowly, and connect as listening ends.
    """

    async def scenario():
        processes = [gateway.start(gateway_processes.PROGRAM) for gateway in gateways]
        await deployment.until_ready(gateways)
        stops = [
            defer.ensureDeferred(stop(loop, process, callers, number * BETWEEN_STOPS_S))
            for number, (process, callers) in enumerate(zip(processes, everyone, strict=True))
        ]
        return [await each for each in stops]

    everyone = [
        Callers(gateway.addresses['front'], f'{number}', draw)
        for number, gateway in enumerate(gateways)
    ]
    assert loop.run(scenario()) == [[0]] * GATEWAYS
    passed_on = {request.target.decode() for request in deployment.received}
    outcomes = [outcome for callers in everyone for outcome in callers.outcomes]
    unanswered = [outcome.path for outcome in outcomes if not outcome.status]
    assert not passed_on.intersection(unanswered)
    refused = [
        outcome.path
        for outcome in outcomes
        if outcome.status == const.STATUS_UNAVAILABLE and outcome.path.startswith('/orders')
    ]
    assert not passed_on.intersection(refused)
    statuses = collections.Counter(outcome.status for outcome in outcomes)
    assert statuses[const.STATUS_OK] > len(outcomes) / 2, statuses
