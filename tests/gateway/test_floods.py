"""Floods of misbehaving clients at a gateway that is a process with little memory.

The tests assert no timings: they check that the process lives, that its memory, the bytes that it has
not read and its descriptors stay within what the platform grants, and that an ordinary caller is
served while the clients are still connected.
"""

import fcntl
import itertools
import json
import pathlib
import signal
import tempfile

import pytest

from rhubarbspar.http1 import messages
from rhubarbspar.platform import const
from tests.gateway import deployment
from tests.gateway import floods
from tests.gateway import process_deployment

MEMORY_MB = 100
DESCRIPTORS = 800
FEW_DESCRIPTORS = 120
FLOOD_S = 1.5
TRIES = 5
HTTP_OK = 200
CLIENTS = 280
LOCK_PATH = pathlib.Path(tempfile.gettempdir()) / 'rhubarbspar-floods.lock'

LARGE_BYTES = 1_000_000
# The ports that callers do not use accept bodies of 64 KiB.
SMALL_BYTES = 60_000
FRONT = {'route': ('front', b'/stock/1'), 'no route': ('front', b'/nothing/1')}
INTERNAL = {
    'readiness': ('ready', const.PATH_READY),
    'look-up': ('directory', b'%s?zone=almaty-a&region=almaty' % const.PATH_RESOLVE),
    'metrics': ('metrics', b'/metrics'),
}
PATHS = {**FRONT, **INTERNAL}

pytestmark = pytest.mark.xdist_group('floods')


class SmallGateway(process_deployment.ProcessGateway):
    """A gateway with little memory."""

    descriptors = DESCRIPTORS
    environment = {'GATEWAY_MEMORY_MB': str(MEMORY_MB), 'GATEWAY_DESCRIPTORS': str(DESCRIPTORS)}


class NarrowGateway(SmallGateway):
    """A gateway with few descriptors as well."""

    descriptors = FEW_DESCRIPTORS
    environment = {
        **SmallGateway.environment,
        'GATEWAY_DESCRIPTORS': str(FEW_DESCRIPTORS),
    }


class Flooded(process_deployment.ProcessDeployment):
    """A deployment whose gateway has little memory, and checks of it."""

    first_type = SmallGateway

    def address(self, port):
        """Return the address of one of the gateway's ports."""
        if port == 'metrics':
            return self.first.settings.metrics_address
        return self.addresses[port]

    def watch(self):
        """Return a record of the peaks of the gateway's usage."""
        ports = ('front', 'ready', 'directory', 'metrics')
        return floods.Usage(self.first.process.pid, [self.address(port) for port in ports])

    async def withstands(self, path_name, count, script):
        """Play a flood; fail unless the gateway stays within its limits and serves a caller."""
        port, path = PATHS[path_name]
        usage = self.watch()
        with floods.Flood(self.address(port), count, script(path)) as flood:
            await floods.play(self.loop, flood, usage, FLOOD_S)
            statuses = await self.ordinary_statuses(flood, usage)
        self.check(usage)
        assert HTTP_OK in statuses, (statuses, str(usage))

    async def ordinary_statuses(self, flood, usage):
        """Return the statuses of ordinary requests beside the flood, up to the first that is served."""
        statuses = []
        while len(statuses) < TRIES and HTTP_OK not in statuses:
            await floods.play(self.loop, flood, usage, 0.2)
            response = await self.call('front', b'/stock/1')
            statuses.append(response.status if isinstance(response, messages.Response) else 0)
        return statuses

    def check(self, usage):
        """Fail if the process has ended, or has used more than the platform grants."""
        print(usage)
        assert self.first.process.poll() is None, self.first.log_text[-2000:]
        assert usage.memory_bytes <= MEMORY_MB * 2**20, str(usage)
        assert usage.descriptors <= self.first.descriptors, str(usage)


class Narrow(Flooded):
    """A deployment whose gateway has few descriptors as well, and a long header timeout."""

    first_type = NarrowGateway

    async def until_ready(self):
        """Wait until the gateway serves requests and its header timeout is in force."""
        await super().until_ready()
        row = ['r-2', 'shop.example', '/narrow/', 'safe', '1s', 'stock']
        routes = deployment.CONFIGURATION['routes']
        record = {
            **deployment.CONFIGURATION,
            'version': 'r2',
            'routes': {**routes, 'rows': [*routes['rows'], row]},
            'limits': {'headerTimeout': '30s'},
        }
        self.store.put('op/config', json.dumps(record).encode())
        while (await self.call('front', b'/narrow/1')).status != HTTP_OK:
            await self.loop.wait(0.05)


@pytest.fixture(autouse=True)
def _one_flood_at_a_time():
    """Let the floods of several test processes run one after the other."""
    with LOCK_PATH.open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def start(kind, loop, folder):
    """Start a deployment and close it at the end of the test."""
    started = kind(loop, folder)
    loop.run(started.until_ready())
    yield started
    loop.run(started.close())


@pytest.fixture
def flooded(loop, tmp_path):
    """Return a deployment whose gateway has little memory."""
    yield from start(Flooded, loop, tmp_path)


@pytest.fixture
def narrow(loop, tmp_path):
    """Return a deployment whose gateway has little memory and few descriptors."""
    yield from start(Narrow, loop, tmp_path)


def head(method, path, *fields):
    """Return a request head."""
    start_line = b'%b %b HTTP/1.1' % (method, path)
    known = (b'Host: shop.example', b'Authorization: Bearer key-1')
    return b'\r\n'.join((start_line, *known, *fields, b'', b''))


def whole_body(size_bytes):
    """Return a script: a body with a length that stops one byte short."""

    def script(path):
        length = b'Content-Length: %d' % size_bytes
        return floods.Script(head(b'POST', path, length) + bytes(size_bytes - 1))

    return script


def one_chunk(size_bytes):
    """Return a script: a body in one chunk that stops one byte short."""

    def script(path):
        opening = head(b'POST', path, b'Transfer-Encoding: chunked') + b'%x\r\n' % size_bytes
        return floods.Script(opening + bytes(size_bytes - 1))

    return script


def small_chunks(size_bytes):
    """Return a script: a body in chunks of 100 bytes, without its last chunk."""

    def script(path):
        chunks = (b'64\r\n' + bytes(100) + b'\r\n') * (size_bytes // 100 - 1)
        return floods.Script(head(b'POST', path, b'Transfer-Encoding: chunked') + chunks)

    return script


BODIES = {'whole': whole_body, 'one chunk': one_chunk, 'small chunks': small_chunks}
CASES = [
    *itertools.product(FRONT, BODIES, [LARGE_BYTES]),
    *itertools.product(INTERNAL, BODIES, [SMALL_BYTES]),
]


@pytest.mark.parametrize(('path', 'kind', 'size_bytes'), CASES)
def test_bodies_that_stop_one_byte_short(loop, flooded, path, kind, size_bytes):
    """Guards against bytes in the kernel and bodies in memory that no budget counts."""
    loop.run(flooded.withstands(path, CLIENTS, BODIES[kind](size_bytes)))


@pytest.mark.parametrize('path', PATHS)
def test_bodies_far_over_the_limit(loop, flooded, path):
    """Guards against bodies that are kept although they exceed the limit."""

    def script(target):
        return floods.Script(head(b'POST', target, b'Content-Length: 60000000') + bytes(3_000_000))

    loop.run(flooded.withstands(path, 60, script))


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('is_complete', [True, False], ids=['complete', 'unfinished'])
def test_heads_of_many_short_fields(loop, flooded, path, is_complete):
    """Guards against heads that take thirty times their size in memory."""

    def script(target):
        fields = [b'%d:' % number for number in range(2200)]
        whole = head(b'GET', target, *fields)
        return floods.Script(whole if is_complete else whole[:-2], reads=False)

    loop.run(flooded.withstands(path, CLIENTS, script))


@pytest.mark.parametrize('path', PATHS)
def test_pipelined_requests_whose_responses_are_not_read(loop, narrow, path):
    """Guards against one connection that has hundreds of requests run at the same time."""

    def script(target):
        return floods.Script(head(b'GET', target) * 800, reads=False, repeats=True)

    loop.run(narrow.withstands(path, 30, script))


@pytest.mark.parametrize('path', PATHS)
def test_heads_that_come_byte_by_byte(loop, narrow, path):
    """Guards against unfinished heads that keep ordinary callers out until they time out."""

    def script(target):
        whole = head(b'GET', target, b'A: ' + bytes(range(97, 122)) * 40)
        return floods.Script(whole[:4], whole[4:])

    loop.run(narrow.withstands(path, 60, script))


@pytest.mark.parametrize('path', PATHS)
def test_bodies_that_come_byte_by_byte(loop, narrow, path):
    """Guards against slow bodies that take all connections of a listener."""

    def script(target):
        length = b'Content-Length: 50000'
        return floods.Script(head(b'POST', target, length) + bytes(20_000), bytes(30_000))

    loop.run(narrow.withstands(path, 60, script))


@pytest.mark.parametrize('path', PATHS)
def test_bytes_that_arrive_while_the_process_is_suspended(loop, flooded, path):
    """Guards against bytes in the kernel without a bound while the process reads nothing."""
    port, target = PATHS[path]
    size_bytes = LARGE_BYTES if path in FRONT else SMALL_BYTES
    process = flooded.first.process
    script = whole_body(size_bytes)(target)

    async def scenario():
        usage = flooded.watch()
        process.send_signal(signal.SIGSTOP)
        try:
            with floods.Flood(flooded.address(port), 2 * CLIENTS, script) as flood:
                await floods.play(flooded.loop, flood, usage, FLOOD_S)
                process.send_signal(signal.SIGCONT)
                statuses = await flooded.ordinary_statuses(flood, usage)
        finally:
            process.send_signal(signal.SIGCONT)
        flooded.check(usage)
        assert HTTP_OK in statuses, (statuses, str(usage))

    loop.run(scenario())
