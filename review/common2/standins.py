"""Stand-ins of the second independent review: the store, backend servers and a gateway launcher.

Everything runs on loopback addresses. The store and the servers live in the event loop of the case;
each gateway is a process of its own, started with the command of ``deploy/system.toml``.
"""

import asyncio
import base64
import itertools
import json
import logging
import os
import pathlib
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Figures of the small deployment `sites/valdivieso-urnas.toml`.
REGIONS = {
    'norte-a': 'norte',
    'norte-b': 'norte',
    'centro-a': 'centro',
    'centro-b': 'centro',
    'sur-a': 'sur',
    'sur-b': 'sur',
}
LIMITS = {'cpuShare': 0.86, 'cores': 1, 'memoryMb': 300, 'maxFds': 4100, 'linkMbps': 1000.0}
BOUNDS = {
    'stableWindow': '3000ms',
    'drain': '2000ms',
    'grace': '6s',
    'lossSlack': '200ms',
    'configApply': '2000ms',
    'retryBudgetRatio': 0.2,
    'budgetWindow': '10s',
    'retryBudgetSlack': 60,
    'exposureShare': 0.1,
    'exposureSlack': 50,
}
HOST = 'hulo84.example'
KEY = 'tnfzs989anu6wsjnbanf'
TENANT = 'yefi830'
UNSAFE_PREFIX = '/xapu221/ny95/'
SAFE_PREFIX = '/lepu270/'


class Record:
    """Lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, case_file):
        self.path = pathlib.Path(case_file).resolve().parent / 'record.txt'
        self.started = time.monotonic()
        self.lines = []

    def note(self, *words):
        text = ' '.join(str(word) for word in words)
        line = f'{time.monotonic() - self.started:8.3f} {text}'
        self.lines.append(line)
        self.path.write_text('\n'.join(self.lines) + '\n')

    def say(self, *words):
        self.note(*words)
        print(*words, flush=True)


def make_network():
    """Return a function that gives the addresses of this run: 127.A.B.N."""
    seed = random.SystemRandom()
    prefix = f'127.{seed.randrange(20, 250)}.{seed.randrange(1, 250)}'
    return lambda number: f'{prefix}.{number}'


async def read_head(reader):
    """Return the start line and the headers (lower case) of a message; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, content = line.partition(':')
        if separator:
            headers[name.strip().lower()] = content.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Store:
    """The platform's key-value store."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(':')
        self.port = int(port)
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.numbers = itertools.count(7000)
        self.changed = asyncio.Event()
        self.down = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.sweeper = asyncio.ensure_future(self._sweep())

    def put(self, key, content, lease=0):
        if isinstance(content, (dict, list)):
            content = json.dumps(content).encode()
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'createRevision': known['createRevision'] if known else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._announce(item)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._announce({'key': key, 'revision': self.revision, 'tombstone': True})

    def go_down(self):
        self.down = True
        for writer in tuple(self.writers):
            writer.transport.abort()

    def _announce(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _sweep(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (ends, _) in tuple(self.leases.items()):
                if now > ends:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.delete(key)
        return True

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.down:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(' ')
                status, answer = await self._answer(method, target, body)
                if self.down:
                    return
                text = json.dumps(answer).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n'
                    % (status, len(text))
                    + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case ends.
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, method, target, body):
        parts = parse.urlsplit(target)
        query = dict(parse.parse_qsl(parts.query))
        prefix = query.get('pathPrefix', '')
        if parts.path == '/kv-key':
            item = self.items.get(query['key'])
            return (200, {**item, 'at': self.revision}) if item else (404, {'at': self.revision})
        if parts.path == '/kv-range':
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get('after', ''))
            page = [self.items[key] for key in keys[:500]]
            return 200, {'items': page, 'hasMore': len(keys) > 500, 'at': self.revision}
        if parts.path == '/kv-watch':
            after = int(query['after'])
            deadline = time.monotonic() + int(query['waitMs']) / 1000
            while True:
                found = [
                    event
                    for event in self.events
                    if event['revision'] > after and event['key'].startswith(prefix)
                ]
                left = deadline - time.monotonic()
                if found or left <= 0:
                    return 200, {'events': found, 'at': self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        document = json.loads(body or b'{}')
        if parts.path == '/kv-lease':
            lease = next(self.numbers)
            seconds = _seconds(document['ttl_time'])
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {'lease': lease, 'ttl_time': document['ttl_time']}
        if parts.path.startswith('/kv-keep/'):
            lease = int(parts.path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, {}
            seconds = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {'ttl_time': f'{int(seconds * 1000)}ms'}
        if parts.path.startswith('/kv-lease-end/'):
            return (200, {}) if self._end_lease(int(parts.path.rpartition('/')[2])) else (404, {})
        if parts.path == '/kv-txn':
            return self._transact(document)
        return 404, {}

    def _transact(self, document):
        current = {key: item['revision'] for key, item in self.items.items()}
        for row in document.get('expectedRevision', ()):
            if current.get(row['key'], 0) != row['revision']:
                return 412, {'items': [self.items[row['key']]] if row['key'] in self.items else []}
        if any(put['lease'] and put['lease'] not in self.leases for put in document.get('puts', ())):
            return 404, {}
        for put in document.get('puts', ()):
            self.put(put['key'], base64.b64decode(put['value']), put['lease'])
        for key in document.get('deleteKeys', ()):
            self.delete(key)
        return 200, {'revision': self.revision}


def _seconds(text):
    number, unit = re.fullmatch(r'([\d.]+)(ms|s)', text).groups()
    return float(number) / (1000 if unit == 'ms' else 1)


class Run:
    """One run of a request at a server."""

    def __init__(self, server_id, attempt_id, head, headers, body):
        self.server_id = server_id
        self.attempt_id = attempt_id
        self.method, self.target, _ = head.split(' ')
        self.headers = headers
        self.body = body
        self.began = time.monotonic()
        self.ended = None
        self.dropped = False


class Upstream:
    """A backend server: runs `slots` requests at once, drops one when its connection closes."""

    def __init__(self, server_id, service, address, zone, slots, work_s, runs, record=None):
        self.id = server_id
        self.service = service
        self.host, _, port = address.rpartition(':')
        self.port = int(port)
        self.address = address
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.runs = runs
        self.record = record
        self.free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.born = int(time.time() * 1000) - 600_000
        self.extra_headers = b''
        self.respond = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def entry(self, state='ready'):
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldRemaining': '0ms',
            'seqNo': self.sequence,
            'born': self.born,
        }

    async def _serve(self, reader, writer):
        closed = asyncio.Event()
        queue = asyncio.Queue()
        pump = asyncio.ensure_future(self._read(reader, queue, closed))
        try:
            while True:
                message = await queue.get()
                if message is None:
                    return
                if not await self._run(message, writer, closed):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case ends.
            return
        finally:
            pump.cancel()
            writer.close()

    async def _read(self, reader, queue, closed):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                queue.put_nowait((*head, body))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        closed.set()
        queue.put_nowait(None)

    async def _run(self, message, writer, closed):
        start, headers, body = message
        load = b'%d,%d,%d' % (self.running, self.waiting, self.slots)
        if headers.get('x-rhubarbspar-target-instance', self.id) != self.id:
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\nX-Rhubarbspar-Instance-Id: %b\r\n'
                b'Content-Length: 0\r\n\r\n' % self.id.encode()
            )
            return True
        attempt_id = headers.get('x-rhubarbspar-attempt-id', '')
        self.waiting += 1
        left = asyncio.ensure_future(closed.wait())
        taken = asyncio.ensure_future(self.free.acquire())
        await asyncio.wait({left, taken}, return_when=asyncio.FIRST_COMPLETED)
        self.waiting -= 1
        if not taken.done():
            taken.cancel()
            return False
        run = Run(self.id, attempt_id, start, headers, body)
        self.runs.append(run)
        self.running += 1
        try:
            limit = float(headers.get('x-rhubarbspar-deadline-ms', 1e9)) / 1000
            await asyncio.wait({left}, timeout=min(self.work_s(), limit))
            run.dropped = left.done()
        finally:
            self.running -= 1
            run.ended = time.monotonic()
            self.free.release()
            left.cancel()
        if run.dropped:
            return False
        if self.respond is not None:
            return await self.respond(self, run, writer)
        load = b'%d,%d,%d' % (self.running, self.waiting, self.slots)
        writer.write(answer_bytes(attempt_id, b'done ' + attempt_id.encode(), load, self.extra_headers))
        await writer.drain()
        return True


def seal_of(attempt_id):
    """Return the seal that every answer of a server to a request bears."""
    return f'seal.{attempt_id}'


def answer_bytes(attempt_id, body, load=b'0,0,1', extra=b''):
    """Return a complete answer of a server."""
    return (
        b'HTTP/1.1 200 OK\r\nX-Rhubarbspar-Attempt-Id: %b\r\nX-Rhubarbspar-Response-Seal: %b\r\n'
        b'X-Rhubarbspar-Server-Load: %b\r\n%bKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n'
        % (attempt_id.encode(), seal_of(attempt_id).encode(), load, extra, len(body))
        + body
    )


class Gateway:
    """A gateway process, as `deploy/system.toml` runs it."""

    def __init__(self, world, number, zone):
        self.world = world
        self.zone = zone
        self.ip = world.ip(number)
        self.name = f'front-{zone}-{number}'
        self.caller = (self.ip, 8389)
        self.ready = (self.ip, 8384)
        self.process = None

    def fields(self):
        return {
            'node': self.name,
            'zone': self.zone,
            'region': REGIONS[self.zone],
            'zones': REGIONS,
            'ip': self.ip,
            'listen': {
                'front': f'{self.ip}:8389',
                'ready': f'{self.ip}:8384',
                'directory': f'{self.ip}:8385',
            },
            'internalPorts': [7460, 7475],
            'limits': self.world.limits,
            'provider': {
                'address': self.world.store_address,
                'form': 'kv',
                'writesPerS': 400,
                'readsPerS': 2000,
                'history': '20s',
                'valueBytes': 1048576,
                'ttlMin': '1000ms',
            },
            'bounds': self.world.bounds,
            'cloudApi': None,
        }

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']['gateway']
        settings = self.world.folder / f'{self.name}.json'
        settings.write_text(render((ROOT / deploy['template']).read_text(), self.fields()))
        words = deploy['run'].split()
        words = [str(settings) if word.endswith('settings.json') else word for word in words]
        words[0] = sys.executable if words[0] == 'python3' else words[0]
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(self.world.folder),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'RHUBARBSPAR_SETTINGS': str(settings),
        }
        for name, text in deploy['env'].items():
            environment[name] = render(text, self.fields())
        self.log = (self.world.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )

    def log_text(self):
        return (self.world.folder / f'{self.name}.log').read_text(errors='replace')

    def memory_kb(self):
        """Return the resident memory now."""
        for line in pathlib.Path(f'/proc/{self.process.pid}/status').read_text().splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1])
        return 0

    async def wait_ready(self, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise RuntimeError(f'{self.name} ended at its start')
            try:
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.transport.abort()
                if head and ' 200 ' in head[0] + ' ':
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} is not ready')


def render(template, fields):
    """Fill in the places of a template; sections aren't needed."""

    def fill(match):
        path, _, form = match.group(1).partition('|')
        content = fields
        for step in path.split('.'):
            content = content[int(step)] if isinstance(content, list) else content.get(step)
        if form == 'json':
            return json.dumps(content)
        return '' if content is None else str(content)

    return re.sub(r'\{\{([\w.|]+)\}\}', fill, template)


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, case_file):
        self.record = Record(case_file)
        self.ip = make_network()
        self.temporary = tempfile.TemporaryDirectory(prefix='review2-')
        self.folder = pathlib.Path(self.temporary.name)
        self.limits = dict(LIMITS)
        self.bounds = dict(BOUNDS)
        self.store_address = f'{self.ip(2)}:8382'
        self.store = Store(self.store_address)
        self.upstreams = []
        self.gateways = []
        self.runs = []
        self.version = 7

    def routes(self):
        """Return the rows of the routes: name, host, prefix, kind, timeout, objective, service."""
        return [
            ['r-safe', HOST, SAFE_PREFIX, 'safe', '12000ms', '1500ms', 2, 2, 'huvo11a'],
            ['r-unsafe', HOST, UNSAFE_PREFIX, 'unsafe', '6000ms', '800ms', 1, 2, 'wuno96b'],
        ]

    def configuration(self):
        self.version += 1
        columns = (
            'name host pathPrefix routeType timeout targetLatency priority maxAttempts service'
        ).split()
        services = [[name, '/health', 360, 'h1', False, '3s', 5.8] for name in ('huvo11a', 'wuno96b')]
        return {
            'version': f'r{self.version}',
            'routes': {'columns': columns, 'rows': self.routes()},
            'services': {
                'columns': 'name healthPath maxConns protocol tls coldStart coldPerS'.split(),
                'rows': services,
            },
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeout': '3000ms',
                'idleTimeout': '15000ms',
            },
            'tenants': {
                'columns': 'name apiKeys priority ratePerS burst homeRegions'.split(),
                'rows': [[TENANT, [KEY], 0, 0, 0, []]],
            },
        }

    def add_upstreams(self, service, count, slots, work_s, first_number, zones=tuple(REGIONS)):
        for index in range(count):
            self.upstreams.append(
                Upstream(
                    f'i-{service}-{index}',
                    service,
                    f'{self.ip(first_number + index)}:8080',
                    zones[index % len(zones)],
                    slots,
                    work_s,
                    self.runs,
                    self.record,
                )
            )

    async def start(self, zones):
        await self.store.start()
        self.store.put('op/config', self.configuration())
        for upstream in self.upstreams:
            await upstream.start()
            self.store.put(f'servers/{upstream.id}', upstream.entry())
        self.beats = asyncio.ensure_future(self._beat())
        for number, zone in enumerate(zones, start=10):
            self.gateways.append(Gateway(self, number, zone))
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(1.5)

    async def _beat(self):
        while True:
            await asyncio.sleep(1.5)
            for upstream in self.upstreams:
                if not self.store.down and f'servers/{upstream.id}' in self.store.items:
                    self.store.put(f'servers/{upstream.id}', upstream.entry())

    def close(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get('KEEP_LOGS'):
            for gateway in self.gateways:
                target = pathlib.Path(os.environ['KEEP_LOGS']) / f'{gateway.name}.log'
                target.write_text(gateway.log_text())
        self.temporary.cleanup()


def request_bytes(method, path, attempt_id, deadline_ms, extra=b'', body=b''):
    """Return a request of a client."""
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Rhubarbspar-Attempt-Id: {attempt_id}\r\n'
        f'X-Rhubarbspar-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n'
    ).encode()
    length = b'Content-Length: %d\r\n' % len(body) if body or method == 'POST' else b''
    return head + extra + length + b'\r\n' + body


async def read_answer(reader):
    """Return status, headers and body of the next answer on a connection; None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    body = await read_body(reader, head[1])
    return int(head[0].split(' ')[1]), head[1], body


def new_id():
    """Return the id of a client attempt."""
    return f'{random.SystemRandom().getrandbits(64):016x}'


def run_case(case_file, play):
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if it couldn't run."""

    def report(loop, context):
        # Tasks that are still open when the case ends are cancelled.
        if not isinstance(context.get('exception'), asyncio.CancelledError):
            loop.default_exception_handler(context)

    async def main():
        logging.getLogger('asyncio').setLevel(logging.ERROR)
        asyncio.get_running_loop().set_exception_handler(report)
        world = World(case_file)
        try:
            return await asyncio.wait_for(play(world), 110)
        finally:
            world.close()

    # Ends the processes of the case as its end does.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        status = asyncio.run(main())
    except (Exception, SystemExit) as error:  # noqa: BLE001
        print(f'the case could not run: {type(error).__name__}: {error}')
        status = NOT_RUN
    sys.exit(status)
