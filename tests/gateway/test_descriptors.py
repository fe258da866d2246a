"""Descriptors of a gateway that is a process of its own, with connections of strangers."""

import pytest

from rhubarbspar.http1 import messages
from rhubarbspar.platform import const
from tests.gateway import process_deployment

CHECKS = 4
CONNECTIONS = 300
SETTLING_TRIES = 15
HALF_REQUEST = b'GET /half HTTP/1.1\r\nHost: sh'
PORTS = ('front', 'ready', 'directory', 'metrics', 'forward', 'peer')
LOOKUP = b'%s?zone=almaty-a&region=almaty' % const.PATH_RESOLVE


class Limited(process_deployment.ProcessDeployment):
    """A deployment, and what callers see of its first gateway."""

    version = 1

    def address(self, port):
        """Return the address of one of the gateway's ports."""
        settings = self.first.settings
        internal = {
            'forward': settings.forward_address,
            'metrics': settings.metrics_address,
            'peer': settings.peer_address,
        }
        return internal.get(port) or self.addresses[port]

    async def status(self, port, path):
        """Return the status of the response of one of the gateway's ports; 0 without one."""
        response = await self.call_address(self.address(port), path)
        return response.status if isinstance(response, messages.Response) else 0

    async def statuses(self):
        """Return the statuses of the responses of all ports but those between gateways."""
        paths = {'front': b'/stock/1', 'ready': b'/ready', 'directory': LOOKUP, 'metrics': b'/'}
        return {port: await self.status(port, path) for port, path in paths.items()}

    async def until_settled(self, expected):
        """Wait for a while until the gateway has accepted the connections of the strangers."""
        for _ in range(SETTLING_TRIES):
            await self.loop.wait(0.1)
            if await self.statuses() == expected:
                return

    async def follows_store(self):
        """Return whether requests to a route that a new configuration adds are served."""
        self.version += 1
        self.configure(self.version, [f'/{self.version}/', '/stock/'])
        found = False
        for _ in range(SETTLING_TRIES):
            await self.loop.wait(0.1)
            found = await self.status('front', b'/%d/1' % self.version) == 200
            if found:
                break
        return found


@pytest.fixture(scope='module')
def limited(loop, tmp_path_factory):
    """Return a deployment whose gateway may hold 120 descriptors."""
    started = Limited(loop, tmp_path_factory.mktemp('limited'))
    loop.run(started.until_ready())
    yield started
    loop.run(started.close())


SERVED = {'front': 200, 'ready': 200, 'directory': 200, 'metrics': 200}


@pytest.mark.parametrize('port', PORTS)
@pytest.mark.parametrize('first_bytes', [b'', HALF_REQUEST], ids=['silent', 'half'])
def test_strangers_at_one_port_keep_nobody_else_out(loop, limited, port, first_bytes):
    """Guards against requests without an answer while others hold all descriptors."""

    async def play():
        with process_deployment.Strangers(limited.address(port), CONNECTIONS, first_bytes):
            await limited.until_settled(SERVED)
            found = [await limited.statuses() for _ in range(CHECKS)]
            return found, await limited.follows_store()

    assert loop.run(play()) == ([SERVED] * CHECKS, True)
    loop.run(limited.until_ready())
    assert limited.first.process.poll() is None


@pytest.mark.parametrize('port', ['front', 'peer'])
def test_peers_connect_beside_strangers(loop, limited, port):
    """Guards against a gateway that its peers cannot reach while others hold all descriptors."""

    async def play():
        with process_deployment.Strangers(limited.address(port), CONNECTIONS):
            second = limited.add_gateway('front-2', loop.reactor).daemon
            await loop.until(lambda: second._driver.transport)
            found = await loop.until(lambda: second._driver.transport.peer_ids)
            second.close()
            return found

    assert loop.run(play()) == ['front-1']
