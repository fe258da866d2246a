"""A deployment on loopback ports: a store, a backend server and gateways in one process."""

import itertools
import json
import os
import socket

from twisted.internet import defer

from rhubarbspar.gateway import daemon as gateway_daemon
from rhubarbspar.gateway import settings
from rhubarbspar.http1 import client
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server
from tests.gateway import test_settings
from tests.platform import standin

CONFIGURATION = {
    'version': 'r1',
    'routes': {
        'columns': ['name', 'host', 'pathPrefix', 'routeType', 'timeout', 'service'],
        'rows': [['r-1', 'shop.example', '/stock/', 'safe', '1s', 'stock']],
    },
    'services': {'columns': ['name'], 'rows': [['stock']]},
    'tenants': {'columns': ['name', 'apiKeys'], 'rows': [['workshop', ['key-1']]]},
}
ATTEMPT_ID = b'x-rhubarbspar-attempt-id'
SERVER_HEADERS = ((b'x-seal', b'1'), (b'x-rhubarbspar-server-load', b'1,0,3'))


_HOST_NUMBERS = itertools.count(1)
_HOSTS_PER_PROCESS = 250


def own_host():
    """Return a loopback host that no other test and no outgoing connection uses."""
    number = next(_HOST_NUMBERS) % _HOSTS_PER_PROCESS + 1
    high, low = divmod(os.getpid() % 2**14, 2**8)
    return f'127.{64 + high}.{low}.{number}'


def free_address(host='127.0.0.1'):
    """Return an address with a free port of a host.

    Only on a host of its own the port stays free until it is used: outgoing connections take theirs
    on 127.0.0.1.
    """
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f'{host}:{probe.getsockname()[1]}'


def hold(address):
    """Return a listening socket that takes an address."""
    host, _, port = address.rpartition(':')
    return socket.create_server((host, int(port)))


def free_addresses(host):
    """Return free addresses for callers, readiness checks and look-ups, by name."""
    return {name: free_address(host) for name in ('front', 'ready', 'directory')}


def fill_settings(instance_id, store_address, host, addresses):
    """Return the settings of a gateway that listens on ``addresses`` and other ports of a host."""
    placeholders = {
        **test_settings.VALUES,
        'node': json.dumps(instance_id),
        'listen.front': json.dumps(addresses['front']),
        'listen.ready': json.dumps(addresses['ready']),
        'listen.directory': json.dumps(addresses['directory']),
        'provider.address': json.dumps(store_address),
        'ip': host,
        'internalPorts.0': free_address(host).rpartition(':')[2],
        'internalPorts.1': free_address(host).rpartition(':')[2],
    }
    text = test_settings.fill_template(placeholders)
    return text.replace(f'{host}:9464', free_address(host))


class Gateway:
    """A gateway on loopback ports; its parts use a reactor of the test's choice.

    Attributes
    ----------
    addresses
        Addresses of the gateway, by name.
    settings_path
        Its settings.
    taken
        Sockets that hold ports of the gateway.
    daemon
        The gateway itself.
    """

    def __init__(self, instance_id, store_address, reactor, folder, taken=()):
        """Start the gateway; another process holds the ports named in ``taken``."""
        self._host = own_host()
        self.addresses = free_addresses(self._host)
        self.settings_path = folder / f'{instance_id}.jsonc'
        text = fill_settings(instance_id, store_address, self._host, self.addresses)
        self.settings_path.write_text(text)
        loaded = settings.load(self.settings_path)
        self.taken = [hold(getattr(loaded, name)) for name in taken]
        self.daemon = gateway_daemon.Daemon(str(self.settings_path), loaded, reactor)
        self.daemon.start()


class Deployment:
    """A store, a backend server and a gateway on loopback ports; more gateways can be added.

    Attributes
    ----------
    received
        Requests that the server has received.
    server_status, server_headers
        Status and headers of its responses.
    """

    def __init__(self, loop, tmp_path):
        """Start all parts."""
        self.loop = loop
        self.store = standin.Store(loop.reactor)
        self.received = []
        self.server_status = 200
        self.server_headers = SERVER_HEADERS
        limits = server.Limits(16_384, 1_048_576, 3000, 15_000)
        self._site = server.Site(self._serve, lambda: limits, lambda: 0.0)
        self._port = loop.reactor.listenTCP(0, self._site, interface='127.0.0.1')
        self.store.put('op/config', json.dumps(CONFIGURATION).encode())
        self.declare('ready', 1)
        self.initial_records = self.store.copy()
        self._folder = tmp_path
        self._gateways = []
        self.first = self.add_gateway('front-1', loop.reactor)
        self.addresses = self.first.addresses
        self.gateway = self.first.daemon

    @property
    def server_port(self):
        """Return the port of the backend server."""
        return self._port.getHost().port

    def add_gateway(self, instance_id, reactor, taken=()):
        """Start a gateway and return it; ``taken`` names ports that another process holds."""
        added = Gateway(instance_id, self.store.address, reactor, self._folder, taken)
        self._gateways.append(added)
        return added

    def configure(self, version, prefixes):
        """Write a configuration with a route for each path prefix."""
        columns = CONFIGURATION['routes']['columns']
        rows = [
            [f'r-{number}', 'shop.example', prefix, 'safe', '1s', 'stock']
            for number, prefix in enumerate(prefixes)
        ]
        routes = {'columns': columns, 'rows': rows}
        record = {**CONFIGURATION, 'version': f'r{version}', 'routes': routes}
        self.store.put('op/config', json.dumps(record).encode())

    def declare(self, state, sequence, server_id='s-1', port=None):
        """Register the backend server, or another one at a port, in a state and under an id."""
        record = {
            'service': 'stock',
            'address': f'127.0.0.1:{port or self.server_port}',
            'zone': 'almaty-a',
            'version': 'v1',
            'slots': 3,
            'state': state,
            'seqNo': sequence,
        }
        self.store.put(f'servers/{server_id}', json.dumps(record).encode())

    async def call(self, address_name, path, key='key-1'):
        """Send a GET request to an address of the first gateway and return the response."""
        return await self.call_address(self.addresses[address_name], path, key)

    async def call_address(self, address, path, key='key-1', body=b'', more_headers=()):
        """Send a GET request, or a POST with a body, to an address and return the response."""
        host, _, port = address.rpartition(':')
        headers = ((b'host', b'shop.example'), (b'authorization', f'Bearer {key}'.encode()))
        finished = defer.Deferred()
        method = b'POST' if body else b'GET'
        request = messages.Request(method, path, (*headers, *more_headers), body)
        call = client.Call(request, finished.callback)
        pool = client.Pool(self.loop.reactor, client.Endpoint(host, int(port)), lambda: 0.0, 1000)
        pool.start(call, 1000)
        outcome = await finished
        pool.close()
        return outcome

    async def until_ready(self):
        """Wait until the gateway knows the configuration and the server."""
        state = self.gateway._state
        await self.loop.until(lambda: state.is_ready and state.servers.views)

    async def close(self):
        """Stop all parts."""
        for gateway in self._gateways:
            gateway.daemon.close()
        self._site.abort()
        await self._port.stopListening()
        await self.store.close()

    def _serve(self, exchange):
        self.received.append(exchange.request)
        attempt_id = [each for each in exchange.request.headers if each[0] == ATTEMPT_ID]
        headers = (*self.server_headers, *attempt_id)
        response = messages.Response(self.server_status, headers, b'in stock')
        exchange.respond(response)
