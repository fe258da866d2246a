"""Stand-ins of the platform, the upstreams and the clients, for the scripts of this folder.

Only the standard library is used. Gateways are started with the command of deploy/system.toml and
with settings that are filled in from deploy/settings.jsonc, as the platform does it.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The bounds of shelfguild-kz.
BOUNDS = {
    'stableWindow': 4.0,
    'drain': 2.5,
    'grace': 6.0,
    'lossSlack': 0.2,
    'configApply': 2.5,
}
MEMORY_MB = 300
VALUE_BYTES_MAX = 1_048_576
HEARTBEAT_S = 1.5
HOST_NAME = 'jepu9.example'


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happened to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._begun = time.monotonic()

    def now(self):
        return time.monotonic() - self._begun

    def line(self, text):
        self._file.write(f'{self.now():9.3f} {text}\n')
        self._file.flush()

    def say(self, text):
        self.line(text)
        print(text)


def loopback(number):
    """Return a loopback address that other runs at the same time do not use."""
    pid = os.getpid()
    return f'127.{20 + pid // 250 % 200}.{1 + pid % 250}.{number}'


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# HTTP


class Message:
    """A request or a response as it was read."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name):
        return next((value for key, value in self.headers if key == name), None)


async def read_message(reader, has_body=True):
    """Read one message; return None if the connection ends before it begins."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers.append((name.strip().lower(), value.strip()))
    message = Message(lines[0].split(' ', 2), headers, b'')
    if not has_body:
        return message
    if (message.header('transfer-encoding') or '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            parts.append(part[:-2])
        message.body = b''.join(parts)
    else:
        message.body = await reader.readexactly(int(message.header('content-length') or 0))
    return message


def response_bytes(status, body=b'', headers=()):
    lines = [f'HTTP/1.1 {status} X', *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


# The platform's store


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it."""

    def __init__(self, host):
        self.host = host
        self.revision = 100
        self.items = {}
        self.log = collections.deque()
        self.leases = {}
        self._changed = asyncio.Event()
        self._server = None
        self.address = ''
        # Called when a machine reads the list of items.
        self.on_range = lambda: None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0, limit=1 << 24)
        self.address = f'{self.host}:{self._server.sockets[0].getsockname()[1]}'

    def put(self, key, value, lease=0):
        """Write an item; return its revision."""
        self.revision += 1
        known = self.items.get(key)
        created = known['createRevision'] if known else self.revision
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'createRevision': created,
            'lease': lease,
        }
        self._note(self.items[key])
        return self.revision

    def put_json(self, key, document):
        return self.put(key, json.dumps(document).encode())

    def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({'key': key, 'revision': self.revision, 'tombstone': True})

    def keys(self, prefix):
        return [key for key in self.items if key.startswith(prefix)]

    def _note(self, event):
        self.log.append((time.monotonic(), event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease, (_, until) in tuple(self.leases.items()):
            if until <= now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item['lease'] == lease]:
            self.delete(key)
        return True

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                status, document = await self._answer(request)
                body = json.dumps(document).encode()
                writer.write(response_bytes(status, body, [('Content-Type', 'application/json')]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        method, target = request.first[0], request.first[1]
        path, _, query = target.partition('?')
        args = dict(urllib.parse.parse_qsl(query))
        self._expire()
        if path == '/kv-key':
            item = self.items.get(args['key'])
            return (200, {**item, 'at': self.revision}) if item else (404, {})
        if path == '/kv-range':
            self.on_range()
            keys = sorted(self.keys(args.get('pathPrefix', '')))
            page, size = [], 0
            after = args.get('after', '')
            rest = [key for key in keys if key > after]
            for key in rest:
                size += len(self.items[key]['value'])
                if page and (len(page) >= 500 or size > 1 << 20):
                    break
                page.append(self.items[key])
            return 200, {'items': page, 'hasMore': len(page) < len(rest), 'at': self.revision}
        if path == '/kv-watch':
            return await self._watch(args)
        body = json.loads(request.body) if request.body else {}
        if path == '/kv-txn':
            return self._transact(body)
        if path == '/kv-lease':
            lease = 70_000 + self.revision * 100 + len(self.leases)
            while lease in self.leases:
                lease += 1
            ttl = duration_s(body['ttl_time'])
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {'lease': lease, 'ttl_time': body['ttl_time']}
        if path.startswith('/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {'ttl_time': f'{round(ttl * 1000)}ms'}
        if path.startswith('/kv-lease-end/') and method == 'DELETE':
            return (200, {}) if self._end_lease(int(path.rpartition('/')[2])) else (404, {})
        return 404, {}

    async def _watch(self, args):
        after, prefix = int(args['after']), args.get('pathPrefix', '')
        until = time.monotonic() + int(args['waitMs']) / 1000
        while True:
            while self.log and time.monotonic() - self.log[0][0] > 20:
                self.log.popleft()
            if self.log and after < self.log[0][1]['revision'] - 1 or not self.log:
                if after < self.revision:
                    return 410, {}
            events = [
                event
                for _, event in self.log
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'at': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, body):
        conditions = body.get('expectedRevision', [])
        for row in conditions:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                found = [self.items[row['key']] for row in conditions if row['key'] in self.items]
                return 412, {'items': found}
        for put in body.get('puts', []):
            if put['key'].startswith(('op/', 'servers/')):
                return 403, {}
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, {}
        for put in body.get('puts', []):
            self.put(put['key'], base64.b64decode(put['value']), put.get('lease', 0))
        for key in body.get('deleteKeys', []):
            self.delete(key)
        return 200, {'revision': self.revision}


def duration_s(text):
    match = re.fullmatch(r'([\d.]+)(ms|s)', text)
    return float(match[1]) / (1000 if match[2] == 'ms' else 1)


# Upstreams


class Upstream:
    """An upstream: serves requests one at a time on each connection, and registers itself."""

    def __init__(self, store, record, host, server_id, service, zone, work_s=0.2, slots=8):
        self.store = store
        self.record = record
        self.host = host
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.runs = []
        self.state = 'ready'
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        self.running = 0
        self.waiting = 0
        self.busy = asyncio.Semaphore(slots)
        self.answer = None
        self._server = None
        self._beat = None
        self._writers = set()
        self.address = ''

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0, limit=1 << 24)
        self.address = f'{self.host}:{self._server.sockets[0].getsockname()[1]}'
        self._beat = asyncio.create_task(self._beats())

    def register(self):
        self.sequence += 1
        self.store.put_json(
            f'servers/{self.server_id}',
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'coldRemaining': '0ms',
                'seqNo': self.sequence,
                'born': self.born,
            },
        )

    def stop_beats(self):
        self._beat.cancel()

    def close(self):
        """End the process: no more beats, the port closes, connections are reset."""
        self.stop_beats()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _beats(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._handle(request, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        if request.first[1] == '/health':
            writer.write(response_bytes(200, b'', [('X-Rhubarbspar-Instance-Id', self.server_id)]))
            return
        attempt_id = request.header('x-rhubarbspar-attempt-id') or ''
        target = request.header('x-rhubarbspar-target-instance')
        echo = ('X-Rhubarbspar-Attempt-Id', attempt_id)
        if target not in {None, self.server_id}:
            own = ('X-Rhubarbspar-Instance-Id', self.server_id)
            writer.write(response_bytes(421, b'', [echo, own]))
            return
        self.record.line(f'upstream {self.server_id} gets {attempt_id}')
        self.runs.append((self.record.now(), attempt_id, request))
        self.waiting += 1
        async with self.busy:
            self.waiting -= 1
            self.running += 1
            try:
                if self.answer is not None and await self.answer(request, writer):
                    return
                await asyncio.sleep(self.work_s)
                load = f'{self.running},{self.waiting},{self.slots}'
            finally:
                self.running -= 1
        headers = [
            echo,
            ('X-Rhubarbspar-Response-Seal', f'seal.{attempt_id}'),
            ('X-Rhubarbspar-Server-Load', load),
            ('Keep-Alive', 'timeout=10'),
        ]
        writer.write(response_bytes(200, b'x' * 400, headers))
        await writer.drain()
        self.record.line(f'upstream {self.server_id} has answered {attempt_id}')


# Gateways


def _lookup(document, path):
    for part in path.split('.'):
        document = document[int(part)] if isinstance(document, list) else document[part]
    return document


def render_settings(settings):
    """Fill in deploy/settings.jsonc as DEPLOY.md tells it."""
    template = (ROOT / 'deploy' / 'settings.jsonc').read_text()

    def fill(match):
        path, _, form = match[1].partition('|')
        value = _lookup(settings, path)
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([^{}]+)\}\}', fill, template)


class Gateway:
    """A machine of the platform: runs one gateway and starts it anew when it ends."""

    def __init__(self, name, host, zone, regions, store, record, folder, memory_mb=None):
        self.name = name
        self.host = host
        self.record = record
        self.exits = []
        self.restart_s = 0.2
        self.keep_running = True
        self.memory_mb = memory_mb
        self.peak_mb = 0
        self.process = None
        self._tasks = []
        self._folder = pathlib.Path(folder)
        ports = {name: free_port(host) for name in ('front', 'ready', 'control', 'directory')}
        self.port = ports['front']
        self.ready_port = ports['ready']
        self.directory_port = ports['directory']
        internal = [free_port(host), free_port(host)]
        settings = {
            'node': name,
            'ip': host,
            'zone': zone,
            'region': regions[zone],
            'zones': regions,
            'listen': {key: f'{host}:{port}' for key, port in ports.items()},
            'internalPorts': internal,
            'bounds': {
                'grace': '6s',
                'retryBudgetRatio': 0.2,
                'retryBudgetSlack': 56,
                'budgetWindow': '10s',
                'exposureShare': 0.1,
                'exposureSlack': 50,
            },
            'provider': {'address': store.address},
        }
        self.settings_path = self._folder / f'{name}.jsonc'
        self.settings_path.write_text(render_settings(settings))
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        words = deploy['roles']['gateway']['run'].split()
        self._command = [
            str(self.settings_path) if word == '/etc/rhubarbspar/settings.json' else word
            for word in words
        ]

    def start(self):
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['RHUBARBSPAR_SETTINGS'] = str(self.settings_path)
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started = time.monotonic()
        self.record.line(f'gateway {self.name} starts')
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks.append(asyncio.create_task(self._watch(self.process)))
        if self.memory_mb:
            self._tasks.append(asyncio.create_task(self._guard_memory(self.process)))

    def send(self, number):
        if self.process.poll() is None:
            self.record.line(f'gateway {self.name} gets {signal.Signals(number).name}')
            os.kill(self.process.pid, number)

    def close(self):
        self.keep_running = False
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for task in self._tasks:
            task.cancel()

    def log_text(self):
        return (self._folder / f'{self.name}.log').read_text(errors='replace')

    async def _watch(self, process):
        while process.poll() is None:
            await asyncio.sleep(0.01)
        self.exits.append((self.record.now(), process.returncode))
        self.record.line(f'gateway {self.name} ends with {process.returncode}')
        if self.keep_running:
            await asyncio.sleep(self.restart_s)
            if self.keep_running:
                self.start()

    async def _guard_memory(self, process):
        """Kill the process when it exceeds its memory, as the platform does."""
        while process.poll() is None:
            try:
                status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
            except OSError:
                return
            match = re.search(r'VmRSS:\s+(\d+) kB', status)
            used_mb = int(match[1]) / 1024 if match else 0
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self.record.say(
                    f'gateway {self.name} uses {used_mb:.0f} MB of {self.memory_mb}: killed'
                )
                process.kill()
                return
            await asyncio.sleep(0.005)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return message is not None and message.first[1] == '200'

    async def until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{self.name} is not ready')


# Clients


class Connection:
    """A kept connection of a client."""

    def __init__(self, gateway, record):
        self.gateway = gateway
        self.record = record
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.gateway.host, self.gateway.port, limit=1 << 24
        )
        return self

    def send(self, attempt_id, method, path, key, body=b'', deadline_ms=1500):
        head = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'X-Rhubarbspar-Attempt-Id: {attempt_id}',
            f'X-Rhubarbspar-Deadline-Ms: {deadline_ms}',
            f'Authorization: Bearer {key}',
        ]
        if body or method == 'POST':
            head.append(f'Content-Length: {len(body)}')
        self.record.line(f'client sends {attempt_id} {method} {path} to {self.gateway.name}')
        self.writer.write(('\r\n'.join(head) + '\r\n\r\n').encode() + body)

    async def receive(self):
        """Return the next response; None if the connection ends without a whole one."""
        try:
            return await read_message(self.reader)
        except (OSError, asyncio.IncompleteReadError):
            return None

    async def ask(self, attempt_id, method, path, key, body=b'', deadline_ms=1500):
        """Send a request and return its status; 0 if the connection ends without an answer."""
        try:
            self.send(attempt_id, method, path, key, body, deadline_ms)
            message = await asyncio.wait_for(self.receive(), deadline_ms / 1000 + 0.5)
        except (OSError, TimeoutError):
            message = None
            self.close()
        status = 0 if message is None else int(message.first[1])
        found = None if message is None else message.header('x-rhubarbspar-attempt-id')
        if message is not None and found is None:
            found = message.body[:60]
        self.record.line(f'client gets {status} for {attempt_id} ({found})')
        return status

    def close(self):
        if self.writer is not None:
            self.writer.close()


# A small deployment


def configuration(version, routes, services, keys, body_max=67_108_864, objective='300ms'):
    """Return a configuration; routes are rows of name, prefix, kind, service and timeout."""
    columns = ['name', 'host', 'pathPrefix', 'routeType', 'timeout', 'targetLatency', 'priority']
    columns += ['trafficSplit', 'maxAttempts', 'public', 'sticky', 'homeRegions', 'service']
    rows = [
        [name, HOST_NAME, prefix, kind, timeout, objective, 1, None, 2, False, False, [], service]
        for name, prefix, kind, service, timeout in routes
    ]
    service_columns = ['name', 'healthPath', 'maxConns', 'protocol', 'tls', 'coldStart', 'coldPerS']
    tenant_columns = ['name', 'apiKeys', 'priority', 'ratePerS', 'burst', 'homeRegions']
    return {
        'version': f'r{version}',
        'routes': {'columns': columns, 'rows': rows},
        'services': {
            'columns': service_columns,
            'rows': [[name, '/health', 330, 'h1', False, '3s', 7.3] for name in services],
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': body_max,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
        'tenants': {
            'columns': tenant_columns,
            'rows': [['yefi830', list(keys), 0, 0, 0, []]],
        },
    }


class Deployment:
    """Everything that a script starts; ``close`` ends it all."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store(loopback(1))
        self.gateways = []
        self.upstreams = []
        self._hosts = 10

    async def start_store(self):
        await self.store.start()

    def add_gateway(self, name, zone, regions, memory_mb=None):
        self._hosts += 1
        gateway = Gateway(
            name,
            loopback(self._hosts),
            zone,
            regions,
            self.store,
            self.record,
            self.temporary.name,
            memory_mb,
        )
        self.gateways.append(gateway)
        return gateway

    async def add_upstream(self, server_id, service, zone, **options):
        upstream = Upstream(
            self.store, self.record, loopback(2), server_id, service, zone, **options
        )
        self.upstreams.append(upstream)
        await upstream.start()
        return upstream

    def close(self):
        for gateway in self.gateways:
            gateway.close()
        logs = self.folder / 'logs'
        if os.environ.get('KEEP_LOGS'):
            logs.mkdir(exist_ok=True)
            for gateway in self.gateways:
                (logs / f'{gateway.name}.log').write_text(gateway.log_text())
        for upstream in self.upstreams:
            upstream.close()
        self.temporary.cleanup()


def run(folder, play):
    """Run a case; exit with 0 if the rule held, 1 if it was broken, 2 if it could not run."""

    async def main():
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(110):
                await deployment.start_store()
                return await play(deployment)
        except (CannotRun, TimeoutError, OSError) as error:
            deployment.record.say(f'could not run: {error!r}')
            return NOT_RUN
        finally:
            deployment.close()

    sys.exit(asyncio.run(main()))
