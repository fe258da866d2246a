"""Servers that send without end, over sockets: a gateway, two such servers and a sound one."""

import json

import pytest
from twisted.internet import defer
from twisted.internet import protocol

from rhubarbspar.gateway.limits import budget
from tests.gateway import deployment as gateway_deployment

BUDGET_BYTES = 16_000_000
CALLER_BODY = bytes(300_000)
# So long that no request waits for its deadline unnoticed.
TIMEOUT = '20s'
ROUNDS_MAX = 10
CALLER_HEADERS = ((gateway_deployment.ATTEMPT_ID, b'1'),)
ANSWER = b'HTTP/1.1 200 OK\r\nX-Rhubarbspar-Attempt-Id: 1\r\n'


class EndlessServer(protocol.Factory):
    """Answers each request with a head and a part that is repeated until the connection closes."""

    def __init__(self, reactor, head, part):
        """Listen on a loopback port."""
        self.head = head
        self.part = part
        self.request_count = 0
        self._port = reactor.listenTCP(0, self, interface='127.0.0.1')

    @property
    def port(self):
        """Return the port."""
        return self._port.getHost().port

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection."""
        return _EndlessAnswer(self)

    def close(self):
        """Stop listening."""
        return self._port.stopListening()


class _EndlessAnswer(protocol.Protocol):
    """Pull producer of the answer to the first request of a connection."""

    def __init__(self, server):
        self._server = server
        self._is_started = False

    def dataReceived(self, data):  # noqa: N802
        """Begin the answer."""
        if not self._is_started:
            self._is_started = True
            self._server.request_count += 1
            self.transport.write(self._server.head)
            self.transport.registerProducer(self, False)  # noqa: FBT003

    def resumeProducing(self):  # noqa: N802
        """Send the next part."""
        self.transport.write(self._server.part)

    def stopProducing(self):  # noqa: N802
        """Do nothing: the connection has closed."""


def configure(deployment, kind):
    """Write a configuration with one route of a kind, and let retries be no limit."""
    columns = ['name', 'host', 'pathPrefix', 'routeType', 'timeout', 'service', 'maxAttempts']
    row = ['r-1', 'shop.example', '/stock/', kind, TIMEOUT, 'stock', 4]
    routes = {'columns': columns, 'rows': [row]}
    record = {**gateway_deployment.CONFIGURATION, 'version': 'r2', 'routes': routes}
    deployment.store.put('op/config', json.dumps(record).encode())
    deployment.gateway._state.budget.limits = budget.BudgetLimits(10, 100, 12_000)
    deployment.gateway._budget.limit_bytes = BUDGET_BYTES


@pytest.fixture
def deployment(loop, tmp_path):
    """Return a running deployment."""
    created = gateway_deployment.Deployment(loop, tmp_path)
    yield created
    loop.run(created.close())


async def call_until_both_are_asked(deployment, servers):
    """Call in rounds, until each server without end has got a request; return the statuses."""
    state = deployment.gateway._state
    for server in servers:
        deployment.declare('ready', 1, f's-{server.port}', server.port)
    await deployment.loop.until(lambda: state.declared.configuration.version == 2)
    await deployment.loop.until(lambda: len(state.servers.views) == 3)
    address = deployment.addresses['front']
    statuses = []
    for _ in range(ROUNDS_MAX):
        calls = [
            deployment.call_address(address, b'/stock/7', 'key-1', body, CALLER_HEADERS)
            for body in (b'', CALLER_BODY) * 4
        ]
        outcomes = await defer.gatherResults([defer.ensureDeferred(call) for call in calls])
        statuses.extend(outcome.status for outcome in outcomes)
        if all(server.request_count for server in servers):
            return statuses
    return pytest.fail('a server got no request')


OTHER = ANSWER.replace(b'1\r\n', b'2\r\n') + b'Content-Length: 2\r\n\r\nhi'


@pytest.mark.parametrize(
    ('head', 'part'),
    [
        (ANSWER + b'\r\n', bytes(65_536)),
        (ANSWER + b'Transfer-Encoding: chunked\r\n\r\n', b'10000\r\n' + bytes(65_536) + b'\r\n'),
        (b'', OTHER * 100),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
    ],
    ids=['body', 'chunked body', 'responses to another request', 'interim responses'],
)
@pytest.mark.parametrize('kind', ['safe', 'unsafe'])
def test_servers_without_end_keep_no_other_request_from_its_answer(deployment, kind, head, part):
    """Guards against 504 and 503 for all, while bytes without end are read or wait for memory.

    A request that may have run is repeated only if it is safe; otherwise the caller gets 502.
    """

    async def scenario():
        await deployment.until_ready()
        configure(deployment, kind)
        servers = [EndlessServer(deployment.loop.reactor, head, part) for _ in range(2)]
        statuses = await call_until_both_are_asked(deployment, servers)
        endless_count = sum(server.request_count for server in servers)
        if kind == 'safe':
            assert set(statuses) == {200}
        else:
            assert set(statuses) <= {200, 502}
            assert statuses.count(502) == endless_count
            assert endless_count + len(deployment.received) == len(statuses)
        assert deployment.gateway._budget.held_bytes <= BUDGET_BYTES
        for server in servers:
            await server.close()

    deployment.loop.run(scenario())
