"""End-to-end tests over sockets: two gateways, a store, a backend server and the platform's call.

Load pattern: a few requests of one account at both gateways, in windows of 1 s.
"""

import collections
import json

import pytest

from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server
from tests.gateway import deployment as gateway_deployment
from tests.platform import standin

BOUNDS = {'report_window': '1s', 'usage_late': '4s', 'lease_time': '1s'}
OTHER_FILL = gateway_deployment.fill_settings


class Platform:
    """Stand-in of the platform's call.

    Attributes
    ----------
    calls
        Requests in the order of arrival.
    status
        Status of the answers; ``None`` for no answer.
    """

    def __init__(self, loop):
        """Listen on a free port."""
        self.calls = []
        self.status = 200
        limits = server.Limits(16_384, 1_048_576, 3000, 15_000)
        self._site = server.Site(self._receive, lambda: limits, lambda: 0.0)
        self._port = loop.reactor.listenTCP(0, self._site, interface='127.0.0.1')
        self.address = f'127.0.0.1:{self._port.getHost().port}'

    def close(self):
        """Close all connections and the port."""
        self._site.abort()
        return self._port.stopListening()

    def reports(self):
        """Return the bodies of the reports."""
        return [json.loads(bytes(call.body)) for call in self.calls]

    def windows(self):
        """Return the counts of each window; fail if two reports of it differ."""
        found = {}
        for report in self.reports():
            window_id = report['windowId']
            assert found.setdefault(window_id, report['counts']) == report['counts']
        return found

    def total(self):
        """Return the requests of all windows by account."""
        total = collections.Counter()
        for counts in self.windows().values():
            total.update(counts)
        return total

    def header(self, name):
        """Return the values of a header of all calls."""
        return [messages.find_header(call.headers, name) for call in self.calls]

    def _receive(self, exchange):
        self.calls.append(exchange.request)
        if self.status is not None:
            exchange.respond(messages.Response(self.status))


@pytest.fixture
def platform(loop):
    """Return a running stand-in of the platform's call."""
    created = Platform(loop)
    yield created
    loop.run(close(created))


async def close(created):
    """Close a stand-in."""
    await created.close()


@pytest.fixture
def deployment(loop, tmp_path, platform, monkeypatch):
    """Return a running deployment with two gateways that report usage."""

    def fill(*arguments):
        api = {'address': platform.address, 'duties': ['usage_report'], 'dutyPerS': 50}
        members = f'{{"usage_api": {json.dumps(api)}, "bounds": {json.dumps(BOUNDS)},'
        return OTHER_FILL(*arguments).replace('{', members, 1)

    monkeypatch.setattr(gateway_deployment, 'fill_settings', fill)
    created = gateway_deployment.Deployment(loop, tmp_path)
    created.second = created.add_gateway('front-2', loop.reactor)
    yield created
    loop.run(created.close())


async def send(deployment, gateway, count):
    """Send requests to a gateway one after the other."""
    for number in range(count):
        address = gateway.addresses['front']
        response = await deployment.call_address(address, f'/stock/{number}'.encode())
        assert response.status == 200


async def until_connected(deployment):
    """Wait until both gateways know each other and the server."""
    await deployment.until_ready()
    for gateway in (deployment.first, deployment.second):
        state = gateway.daemon._state
        await deployment.loop.until(lambda state=state: state.is_ready and state.servers.views)
        await deployment.loop.until(lambda state=state: len(state.fleet.connected_ids) == 1)


def is_contiguous(windows):
    """Return whether no window between the first and the last one is missing."""
    return list(windows) == list(range(min(windows), max(windows) + 1))


def test_one_gateway_reports_the_requests_of_both(deployment, platform):
    """Guards against parts that work alone but not together."""

    async def scenario():
        await until_connected(deployment)
        await send(deployment, deployment.first, 12)
        await send(deployment, deployment.second, 7)
        await deployment.loop.until(lambda: platform.total()['workshop'] == 19)
        await deployment.loop.wait(2.5)

    deployment.loop.run(scenario())
    assert platform.total() == {'workshop': 19}
    assert is_contiguous(platform.windows())
    assert {call.target for call in platform.calls} == {b'/usage'}
    assert {call.method for call in platform.calls} == {b'POST'}
    assert len(set(platform.header(b'x-rhubarbspar-duty-holder'))) == 1
    assert len(set(platform.header(b'x-rhubarbspar-fencing-token'))) == 1
    assert len(platform.calls) == len(platform.windows())


def test_other_gateway_goes_on_when_the_holder_ends(deployment, platform):
    """Guards against reports that end with their holder."""

    async def scenario():
        await until_connected(deployment)
        await send(deployment, deployment.first, 5)
        await send(deployment, deployment.second, 5)
        await deployment.loop.until(lambda: platform.total()['workshop'] == 10)
        (holder_id,) = set(platform.header(b'x-rhubarbspar-duty-holder'))
        gateways = {b'front-1': deployment.first, b'front-2': deployment.second}
        gateways.pop(holder_id).daemon.close()
        (other,) = gateways.values()
        await send(deployment, other, 6)
        await deployment.loop.until(lambda: platform.total()['workshop'] == 16)

    deployment.loop.run(scenario())
    assert is_contiguous(platform.windows())
    holders = platform.header(b'x-rhubarbspar-duty-holder')
    tokens = [int(token) for token in platform.header(b'x-rhubarbspar-fencing-token')]
    assert len(set(holders)) == len(set(tokens)) == 2
    assert tokens == sorted(tokens)


def test_missed_windows_are_sent_when_the_platform_is_back(deployment, platform):
    """Guards against windows that are lost while the platform does not answer."""

    async def scenario():
        await until_connected(deployment)
        platform.status = 503
        await send(deployment, deployment.first, 5)
        await deployment.loop.until(lambda: len(platform.calls) > 2)
        await deployment.loop.wait(2)
        platform.status = 200
        await deployment.loop.until(lambda: platform.total()['workshop'] == 5)

    deployment.loop.run(scenario())
    assert is_contiguous(platform.windows())


def test_duty_moves_over_an_outage_and_a_restore_of_the_store(deployment, platform):
    """Guards against reports that stop, or change, when the store loses its last records."""

    async def scenario():
        await until_connected(deployment)
        await send(deployment, deployment.first, 4)
        await deployment.loop.until(lambda: platform.total()['workshop'] == 4)
        copied = deployment.store.copy()
        await send(deployment, deployment.second, 4)
        await deployment.loop.until(lambda: platform.total()['workshop'] == 8)
        deployment.store.restore(copied)
        await send(deployment, deployment.first, 4)
        await deployment.loop.until(lambda: platform.total()['workshop'] == 12)

    deployment.loop.run(scenario())
    assert is_contiguous(platform.windows())
    tokens = [int(token) for token in platform.header(b'x-rhubarbspar-fencing-token')]
    assert tokens == sorted(tokens)


def test_records_of_the_duty_stay_out_of_the_replicas(deployment, platform):
    """Guards against a fleet in which every renewal goes to every instance."""

    async def scenario():
        await until_connected(deployment)
        await deployment.loop.until(lambda: platform.calls)
        await deployment.loop.wait(0.5)

    deployment.loop.run(scenario())
    for gateway in (deployment.first, deployment.second):
        keys = {record.key for record in gateway.daemon._state.replica.records.existing()}
        assert keys
        assert not [key for key in keys if key.startswith('fleet/usage')]


def test_deployment_without_the_duty_runs_nothing_of_it(loop, tmp_path):
    """Guards against costs in deployments that report nothing."""
    created = gateway_deployment.Deployment(loop, tmp_path)
    assert created.gateway._state.usage is None
    assert created.gateway._driver.usage is None
    loop.run(created.close())


def test_stand_in_carries_out_deletions(loop):
    """Guards against tests of a store that keeps what is deleted."""
    store = standin.Store(loop.reactor)
    store.put('kept', b'1')
    store._transact({'expectedRevision': [], 'puts': [], 'deleteKeys': ['kept']})
    assert not store.database.read((b'kept', b''))
    loop.run(close(store))
