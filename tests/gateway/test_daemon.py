"""End-to-end tests in one process: caller, gateway, store and a backend server over sockets."""

import json
import os
import socket

import pytest

from rhubarbspar.gateway import daemon as gateway_daemon
from rhubarbspar.gateway import settings
from rhubarbspar.gateway.explain import codec
from rhubarbspar.gateway.explain import models as explain_models
from rhubarbspar.http1 import messages
from tests.gateway import deployment as gateway_deployment
from tests.gateway import test_settings


@pytest.fixture
def deployment(loop, tmp_path):
    """Return a running deployment."""
    created = gateway_deployment.Deployment(loop, tmp_path)
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


def test_target_in_absolute_form_is_served_like_one_in_origin_form(deployment):
    """Guards against 404 for callers that send the whole URI in the request line."""

    async def scenario():
        await deployment.until_ready()
        response = await deployment.call('front', b'http://shop.example/stock/7?a=b')
        assert (response.status, response.body) == (200, b'in stock')
        assert (await deployment.call('front', b'/stock/7?a=b')).status == 200
        absolute, origin = deployment.received
        assert (absolute.target, origin.target) == (b'/stock/7?a=b', b'/stock/7?a=b')
        assert sorted(absolute.headers) == sorted(origin.headers)
        assert (await deployment.call('front', b'http://other.example/stock/7')).status == 404

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


@pytest.mark.parametrize(
    ('limit', 'statuses'), [(1000, (b'HTTP/1.1 404',)), (2, (b'HTTP/1.1 404', b'HTTP/1.1 503'))]
)
def test_connections_that_wait_for_their_acceptance_are_served_when_a_port_closes(
    deployment, limit, statuses
):
    """Guards against requests on new connections that are reset at the end of a planned stop.

    Beyond the limit of connections, they are refused.
    """
    deployment.loop.run(deployment.until_ready())
    deployment.gateway._limits.callers.limit = limit
    deployment.gateway._limits.callers.surplus.limit = limit
    host, _, port = deployment.addresses['front'].rpartition(':')
    clients = [socket.create_connection((host, int(port)), 30) for _ in range(20)]
    for client in clients:
        client.sendall(b'GET /none/ HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n')
    listeners = deployment.gateway._listeners
    # As after a time with few new connections.
    listeners._ports[deployment.addresses['front']].numberAccepts = 1
    listeners.stop_accepting()
    deployment.loop.run(
        deployment.loop.until(lambda: not any(map(is_open, listeners.caller_site.channels)))
    )
    for client in clients:
        assert client.recv(1000).startswith(statuses)
        client.close()


def is_open(channel):
    """Return whether a connection may still get a response."""
    return not channel.closing


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


def test_changes_that_are_too_many_at_once_are_read_as_records(deployment):
    """Guards against an instance that asks for ever for changes which it cannot hold at once."""

    async def scenario():
        await deployment.until_ready()
        state = deployment.gateway._state
        await deployment.loop.until(lambda: state.replica.directly_reachable)
        for number in range(8):
            deployment.store.put(f'odd/{number}', bytes(900_000))
        deployment.configure(2, ['/stock/'])
        await deployment.loop.until(lambda: state.declared.configuration.version == 2)

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


@pytest.mark.parametrize(
    ('status', 'notice'), [(200, (b'server-leaving', b'1')), (503, (b'retry-after', b'30'))]
)
def test_server_that_asks_for_no_more_requests_gets_none(deployment, status, notice):
    """Guards against headers of servers that are passed on to callers but not followed."""

    async def scenario():
        await deployment.until_ready()
        deployment.server_status = status
        deployment.server_headers = (*gateway_deployment.SERVER_HEADERS, notice)
        first = await deployment.call('front', b'/stock/7')
        assert (first.status, len(deployment.received)) == (status, 1)
        refused = await deployment.call('front', b'/stock/8')
        assert (refused.status, len(deployment.received)) == (503, 1)

    deployment.loop.run(scenario())


TAKEN = ('caller_address', 'peer_address', 'forward_address', 'readiness_address')


@pytest.mark.parametrize('taken', TAKEN)
def test_port_that_is_taken_at_the_start_is_opened_later(deployment, taken):
    """Guards against a process that stays up without one of its ports, and is never ready."""

    async def scenario():
        late = deployment.add_gateway('front-2', deployment.loop.reactor, (taken,))
        state = late.daemon._state
        await deployment.loop.wait(0.4)
        assert not late.daemon._driver.transport
        late.taken[0].close()
        await deployment.loop.until(lambda: late.daemon._driver.transport and state.is_ready)
        response = await deployment.call_address(late.addresses['ready'], b'/readiness')
        assert response.status == 200
        assert (await deployment.call_address(late.addresses['front'], b'/stock/7')).status == 200

    deployment.loop.run(scenario())


def test_taken_metrics_port_does_not_keep_an_instance_from_serving(deployment):
    """Guards against a fixed port that another address of the day has drawn."""

    async def scenario():
        late = deployment.add_gateway('front-2', deployment.loop.reactor, ('metrics_address',))
        await deployment.loop.until(lambda: late.daemon._driver.transport)
        assert (await deployment.call_address(late.addresses['front'], b'/stock/7')).status == 200
        late.taken[0].close()

    deployment.loop.run(scenario())


def test_settings_that_are_away_for_a_while_are_followed_again(deployment):
    """Guards against changes of the settings that no instance sees after the file was away."""

    async def scenario():
        await deployment.until_ready()
        path = deployment.first.settings_path
        text = path.read_text()
        path.unlink()
        deployment.gateway._check_settings()
        deployment.gateway.reload()
        assert deployment.gateway._state.bounds.stop_grace_ms == 5000
        path.write_text(text.replace('"grace": "5s"', '"grace": "7s"'))
        deployment.gateway._check_settings()
        assert deployment.gateway._state.bounds.stop_grace_ms == 7000

    deployment.loop.run(scenario())


def make_large_file(path):
    """Make a file without content that seems to hold 1 GB."""
    with path.open('wb') as opened:
        opened.truncate(10**9)


@pytest.mark.parametrize(
    'replace', [os.mkfifo, lambda path: path.symlink_to('/dev/zero'), make_large_file]
)
def test_settings_without_end_leave_the_last_ones_in_force(deployment, replace):
    """Guards against a process that stands still or ends when its settings become something else."""
    path = deployment.first.settings_path
    text = path.read_text()
    path.unlink()
    replace(path)
    deployment.gateway._check_settings()
    deployment.gateway.reload()
    path.unlink()
    path.write_text(text.replace('"5s"', '"4s"'))
    deployment.gateway._check_settings()
    assert deployment.gateway._state.bounds.stop_grace_ms == 4000


def test_settings_that_change_while_a_gateway_starts_are_followed(loop, tmp_path):
    """Guards against bounds of before that stay in force: SIGHUP is ignored until then."""
    path = tmp_path / 'settings.jsonc'
    text = test_settings.fill_template(test_settings.VALUES)
    path.write_text(text)
    loaded = settings.load(path)
    path.write_text(text.replace('"5s"', '"4s"'))
    daemon = gateway_daemon.Daemon(str(path), loaded, loop.reactor)
    daemon.start()
    assert daemon._state.bounds.stop_grace_ms == 4000
    daemon.close()


def test_settings_that_go_away_while_a_gateway_starts_are_no_fault(loop, tmp_path):
    """Guards against a process that ends because its settings are away for a moment."""
    path = tmp_path / 'settings.jsonc'
    path.write_text(test_settings.fill_template(test_settings.VALUES))
    loaded = settings.load(path)
    path.unlink()
    gateway_daemon.Daemon(str(path), loaded, loop.reactor).close()


def test_metrics_port_explains_where_a_request_goes(deployment):
    """Guards against an explanation that differs from what a real request meets."""

    async def scenario():
        await deployment.until_ready()
        query = explain_models.Query('GET', 'shop.example', '/stock/1', 'workshop')
        target = codec.encode_target(query).encode()
        address = deployment.first.settings.metrics_address
        response = await deployment.call_address(address, target)
        explained = codec.decode_explanation(bytes(response.body))
        assert explained.server_id == 's-1'
        assert not deployment.received
        unknown = await deployment.call_address(address, target.replace(b'workshop', b'other'))
        assert unknown.status == 400
        assert (await deployment.call_address(address, b'/metrics')).status == 200

    deployment.loop.run(scenario())
