"""End-to-end tests in one process: caller, gateway, store and a backend server over sockets."""

import json
import pathlib
import re
import socket

import pytest
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


def free_address():
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


class Deployment:
    """A store, a backend server and a gateway on loopback ports."""

    def __init__(self, loop, tmp_path):
        """Start all parts."""
        self.loop = loop
        self.store = standin.Store(loop.reactor)
        self.received = []
        limits = server.Limits(16_384, 1_048_576, 3000, 15_000)
        self._site = server.Site(self._serve, lambda: limits, lambda: 0.0)
        self._port = loop.reactor.listenTCP(0, self._site, interface='127.0.0.1')
        self.store.put('op/config', json.dumps(CONFIGURATION).encode())
        self.declare('ready', 1)
        self.addresses = {name: free_address() for name in ('front', 'ready', 'directory', 'own')}
        path = tmp_path / 'settings.jsonc'
        path.write_text(self._settings(test_settings.TEMPLATE))
        self.initial_records = self.store.copy()
        self.gateway = gateway_daemon.Daemon(str(path), settings.load(path), loop.reactor)
        self.gateway.start()

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

    def declare(self, state, sequence):
        """Register the backend server in a state."""
        record = {
            'service': 'stock',
            'address': f'127.0.0.1:{self._port.getHost().port}',
            'zone': 'almaty-a',
            'version': 'v1',
            'slots': 3,
            'state': state,
            'seqNo': sequence,
        }
        self.store.put('servers/s-1', json.dumps(record).encode())

    async def call(self, address_name, path, key='key-1'):
        """Send a GET request to an address of the gateway and return the response."""
        host, _, port = self.addresses[address_name].rpartition(':')
        headers = ((b'host', b'shop.example'), (b'authorization', f'Bearer {key}'.encode()))
        finished = defer.Deferred()
        call = client.Call(messages.Request(b'GET', path, headers), finished.callback)
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
        self.gateway.close()
        self._site.abort()
        await self._port.stopListening()
        await self.store.close()

    def _serve(self, exchange):
        self.received.append(exchange.request)
        exchange.respond(messages.Response(200, ((b'x-seal', b'1'),), b'in stock'))

    def _settings(self, template):
        values = {
            **test_settings.VALUES,
            'listen.front': json.dumps(self.addresses['front']),
            'listen.ready': json.dumps(self.addresses['ready']),
            'listen.directory': json.dumps(self.addresses['directory']),
            'provider.address': json.dumps(self.store.address),
            'ip': '127.0.0.1',
            'internalPorts.0': free_address().rpartition(':')[2],
        }
        text = re.sub(
            r'{{([\w.]+)(?:\|json)?}}',
            lambda match: values[match[1]],
            pathlib.Path(template).read_text(),
        )
        return text.replace('127.0.0.1:9464', free_address())


@pytest.fixture
def deployment(loop, tmp_path):
    """Return a running deployment."""
    created = Deployment(loop, tmp_path)
    yield created
    loop.run(created.close())


def test_request_and_response_pass_through_the_gateway(deployment):
    """Guards against parts that work alone but not together.

    The server gets the account instead of the access key. A wrong key and an unknown route are
    refused.
    """

    async def scenario():
        await deployment.until_ready()
        response = await deployment.call('front', b'/stock/7')
        assert (response.status, response.body) == (200, b'in stock')
        assert messages.find_header(response.headers, b'x-seal') == b'1'
        (received,) = deployment.received
        assert messages.find_header(received.headers, b'authorization') is None
        assert messages.find_header(received.headers, b'x-rhubarbspar-tenant') == b'workshop'
        assert (await deployment.call('front', b'/stock/7', key='other')).status == 401
        assert (await deployment.call('front', b'/none/')).status == 404

    deployment.loop.run(scenario())


def test_lookup_and_readiness_follow_the_planned_stop(deployment):
    """Guards against callers that are sent to a stopping instance, or that it refuses too early."""

    async def scenario():
        await deployment.until_ready()
        query = b'/resolve?name=shop.example&region=almaty&zone=almaty-a'
        found = json.loads((await deployment.call('directory', query)).body)
        assert found['frontAddresses'] == [deployment.addresses['front']]
        assert (await deployment.call('ready', b'/readiness')).status == 200
        deployment.gateway.request_stop()
        assert (await deployment.call('ready', b'/readiness')).status == 503
        response = await deployment.call('front', b'/stock/7')
        assert response.status == 200
        assert (
            not response.keep_alive
            or messages.find_header(response.headers, b'connection') == b'close'
        )

    deployment.loop.run(scenario())


def test_draining_server_gets_no_request(deployment):
    """Guards against a store change that has no effect on the choice of the server."""

    async def scenario():
        await deployment.until_ready()
        deployment.declare('draining', 2)
        (view,) = deployment.gateway._state.servers.views.values()
        await deployment.loop.until(lambda: view.server.draining)
        assert (await deployment.call('front', b'/stock/7')).status == 503
        assert not deployment.received

    deployment.loop.run(scenario())


@pytest.mark.parametrize('changes_after', [1, 2, 4])
def test_changes_after_a_restore_of_the_store_are_applied(deployment, changes_after):
    """Guards against changes that are dropped because a restored store gives out revisions again.

    The last change has a lower, the same or a higher revision than the last one before the restore.
    """

    async def scenario():
        await deployment.until_ready()
        state = deployment.gateway._state
        await deployment.loop.until(lambda: state.replica.directly_reachable)
        copied = deployment.store.copy()
        for version in (2, 3):
            deployment.configure(version, ['/stock/'])
        await deployment.loop.until(lambda: state.declared.configuration.version == 3)
        deployment.store.restore(copied)
        last_version = 3 + changes_after
        for version in range(4, last_version + 1):
            deployment.configure(version, ['/stock/', '/added/'])
        await deployment.loop.until(lambda: state.declared.configuration.version == last_version)
        assert (await deployment.call('front', b'/added/1')).status == 200

    deployment.loop.run(scenario())


def test_instance_registers_again_after_a_restore_of_the_store(deployment):
    """Guards against an instance, or the key of the fleet, that new instances do not find."""

    async def scenario():
        def read(key):
            found = deployment.store.database.read((key.encode(), b''))
            return found[0] if found else None

        await deployment.until_ready()
        gateway = deployment.gateway
        # Until then the store may have the records, but the instance has no answer yet.
        await deployment.loop.until(lambda: gateway._driver.transport and gateway._store._lease)
        keys = ('fleet/key', 'fleet/instances/front-1')
        before = [read(key) for key in keys]
        deployment.store.restore(deployment.initial_records)
        after = [await deployment.loop.until(lambda key=key: read(key)) for key in keys]
        assert [record.body for record in after] == [record.body for record in before]
        assert deployment.store.database.renew(after[1].lease_id, deployment.loop.reactor.seconds())

    deployment.loop.run(scenario())
