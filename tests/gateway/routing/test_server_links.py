"""Instances that have lost their links to the backend servers."""

import pytest
from twisted.internet import error as internet_error
from twisted.python import failure

from rhubarbspar.http1 import messages
from tests.gateway import deployment as gateway_deployment

SERVER_IDS = ('s-1', 's-2', 's-3')


class CutReactor:
    """A reactor whose connections to one port fail while ``mode`` is set.

    Parameters
    ----------
    reactor
        The reactor that does everything else.
    """

    def __init__(self, reactor):
        """Fail no connection yet."""
        self._reactor = reactor
        self._closed_port = int(gateway_deployment.free_address().rpartition(':')[2])
        self.cut_port = 0
        self.mode = ''
        self.opened_count = 0

    def __getattr__(self, name):
        return getattr(self._reactor, name)

    def connectTCP(self, host, port, factory, timeout=30):  # noqa: N802
        """Open a connection, refuse it, or let it time out."""
        if port != self.cut_port:
            return self._reactor.connectTCP(host, port, factory, timeout=timeout)
        self.opened_count += 1
        match self.mode:
            case 'refuse':
                return self._reactor.connectTCP(host, self._closed_port, factory, timeout=timeout)
            case 'hang':
                return HangingConnector(self._reactor, factory, timeout)
        return self._reactor.connectTCP(host, port, factory, timeout=timeout)


class HangingConnector:
    """A connection attempt to which nobody responds."""

    def __init__(self, reactor, factory, timeout):
        """Fail after the timeout."""
        self._factory = factory
        self._delayed = reactor.callLater(timeout, self._fail)

    def disconnect(self):
        """Give up the connection attempt."""
        if self._delayed.active():
            self._delayed.cancel()
            self._fail()

    def _fail(self):
        self._factory.clientConnectionFailed(
            self, failure.Failure(internet_error.TCPTimedOutError())
        )


@pytest.fixture
def deployment(loop, tmp_path):
    """Return a running deployment with three registrations of its backend server."""
    created = gateway_deployment.Deployment(loop, tmp_path)
    for server_id in SERVER_IDS[1:]:
        created.declare('ready', 1, server_id)
    yield created
    loop.run(created.close())


@pytest.mark.parametrize('mode', ['hang', 'refuse'])
def test_callers_of_an_instance_without_links_to_servers_are_served(deployment, mode):
    """Guards against callers that fail because their instance alone reaches no backend server."""
    reactor = CutReactor(deployment.loop.reactor)
    reactor.cut_port = deployment.server_port
    stranded = deployment.add_gateway('front-2', reactor)

    async def call_both():
        """Send a request to both instances; return the status of the one without links."""
        await deployment.call('front', b'/stock/1')
        return (await deployment.call_address(stranded.addresses['front'], b'/stock/1')).status

    async def scenario():
        await deployment.until_ready()
        state = stranded.daemon._state
        views = state.servers.views.values()
        await deployment.loop.until(lambda: len(views) == len(SERVER_IDS))
        # Reports that precede the first heartbeat of a peer do not reach it.
        peers = state.fleet.peers.values()
        await deployment.loop.until(lambda: any(peer.last_heartbeat_ms > 0 for peer in peers))
        await deployment.call('front', b'/stock/1')
        await deployment.loop.until(lambda: any(view.answered_elsewhere_ms > 0 for view in views))
        reactor.mode = mode
        # Some requests fail before the instance notices that its links are lost.
        statuses = [await call_both() for _ in range(12)]
        assert statuses[-5:] == [200] * 5
        received = deployment.received[-1]
        assert messages.find_header(received.headers, b'x-rhubarbspar-tenant') == b'workshop'

    deployment.loop.run(scenario())
