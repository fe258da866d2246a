"""Memory of a real gateway process whose store answers without end."""

import json
import os
import re
import subprocess
import sys

import pytest
from twisted.internet import protocol
from twisted.protocols import portforward

from tests.gateway import deployment
from tests.platform import standin

MEMORY_MB = 200
PLANNED_SHARE = 0.6
KB_PER_MB = 1024
BLOCK = b'a' * 65_536
FAILURES = 4


def chunked(part):
    """Return the parts of a chunked response without end."""
    yield b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n%b\r\n' % (len(part), part)
    while True:
        yield chunk


def announced():
    """Return the parts of a response that is far larger than any record."""
    yield b'HTTP/1.1 200 OK\r\nContent-Length: 67000000\r\n\r\n'
    while True:
        yield BLOCK


def head():
    """Return the parts of a head without end."""
    yield b'HTTP/1.1 200 OK\r\n'
    while True:
        yield b'x-more: %b\r\n' % BLOCK[:1000]


def nested(element):
    """Return a response of ordinary size whose many elements take far more memory."""
    body = b'[%b]' % b','.join([element] * 1_000_000)
    yield b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(body), body)


BODY_TOO_LARGE = 'the answer is larger than'
TOO_MANY_ELEMENTS = 'the answer has more than'
# Each answer without end, and the error that the log names.
ENDLESS = {
    'body': (lambda: chunked(BLOCK), BODY_TOO_LARGE),
    'announced body': (announced, BODY_TOO_LARGE),
    'head': (head, 'the head or trailers are too large'),
    'empty lists': (lambda: nested(b'[]'), TOO_MANY_ELEMENTS),
    'empty objects': (lambda: nested(b'{}'), TOO_MANY_ELEMENTS),
    'list without end': (lambda: chunked(b'[],' * 20_000), BODY_TOO_LARGE),
}


class EndlessAnswer(protocol.Protocol):
    """Answers the first request with parts that are sent as fast as they are read."""

    def __init__(self, parts):
        self._parts = parts
        self._started = False

    def dataReceived(self, chunk):
        if not self._started:
            self._started = True
            self.transport.registerProducer(self, False)

    def resumeProducing(self):
        part = next(self._parts, None)
        if part is None:
            self.transport.unregisterProducer()
        else:
            self.transport.write(part)

    def stopProducing(self):
        self._parts = iter(())


class Front(portforward.ProxyFactory):
    """Accepts the connections to a store and passes them on, unless it answers by itself."""

    def __init__(self, host, port):
        super().__init__(host, port)
        self._answer = None
        self._passed_on = []

    def buildProtocol(self, address):
        if self._answer is not None:
            return EndlessAnswer(self._answer())
        self._passed_on.append(super().buildProtocol(address))
        return self._passed_on[-1]

    def answer_with(self, answer):
        """Answer all calls with the parts that ``answer`` returns; ``None`` passes them on."""
        self._answer = answer
        for connection in self._passed_on:
            connection.transport.loseConnection()
        self._passed_on.clear()


class Process:
    """A store behind a front, and a gateway process that uses it."""

    def __init__(self, loop, folder):
        self.loop = loop
        self.store = standin.Store(loop.reactor)
        self.store.put('op/config', json.dumps(deployment.CONFIGURATION).encode())
        host, _, port = self.store.address.rpartition(':')
        self.front = Front(host, int(port))
        self._port = loop.reactor.listenTCP(0, self.front, interface=host)
        self._address = f'{host}:{self._port.getHost().port}'
        self._folder = folder
        self._log = folder / 'log'
        self._process = None

    def start(self):
        """Start the gateway."""
        host = deployment.own_host()
        path = self._folder / 'settings.jsonc'
        addresses = deployment.free_addresses(host)
        path.write_text(deployment.fill_settings('front-1', self._address, host, addresses))
        with self._log.open('wb') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'rhubarbspar.gateway', str(path)],
                env={**os.environ, 'GATEWAY_MEMORY_MB': str(MEMORY_MB)},
                stdout=log,
                stderr=log,
            )

    async def until_logged(self, event, count=1):
        """Wait until the log has a number of lines of an event; fail if the process ends."""

        def has_lines():
            assert self._process.poll() is None, self._log.read_text()
            return self._log.read_text().count(event) >= count

        await self.loop.until(has_lines)

    @property
    def peak_mb(self):
        """Return the largest amount of memory that the process has had."""
        with open(f'/proc/{self._process.pid}/status') as status:
            return int(re.search(r'VmHWM:\s+(\d+)', status.read())[1]) / KB_PER_MB

    async def close(self):
        """End the process and the store."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
        await self._port.stopListening()
        await self.store.close()


@pytest.fixture
def process(loop, tmp_path):
    """Return a store and a gateway process that is not started yet."""
    created = Process(loop, tmp_path)
    yield created
    loop.run(created.close())


@pytest.mark.parametrize(('answer', 'error'), ENDLESS.values(), ids=ENDLESS.keys())
def test_store_that_answers_without_end_leaves_the_process_its_memory(process, answer, error):
    """Guards against a process that the platform ends because it keeps what the store sends.

    From the first call on; afterwards the process reads the store as usual.
    """

    async def scenario():
        process.front.answer_with(answer)
        process.start()
        await process.until_logged('store_call_failed', FAILURES)
        await process.until_logged(error)
        assert process.peak_mb < MEMORY_MB * PLANNED_SHARE
        process.front.answer_with(None)
        await process.until_logged('snapshot_applied')

    process.loop.run(scenario())


@pytest.mark.parametrize(('answer', 'error'), ENDLESS.values(), ids=ENDLESS.keys())
def test_records_stay_in_force_while_the_store_answers_without_end(process, answer, error):
    """Guards against a process that ends or forgets its records when the store fails later."""

    async def scenario():
        process.start()
        await process.until_logged('snapshot_applied')
        process.front.answer_with(answer)
        await process.until_logged('store_call_failed', FAILURES)
        await process.until_logged(error)
        assert process.peak_mb < MEMORY_MB * PLANNED_SHARE

    process.loop.run(scenario())
