"""Entries of another writer among those of the backend servers, end to end over sockets."""

import json

import pytest

from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.peers import codec
from rhubarbspar.peers import registry
from rhubarbspar.platform import const
from tests.gateway import deployment as gateway_deployment

SERVER = {
    'service': 'stock',
    'address': '127.0.0.1:9',
    'zone': 'almaty-a',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'seqNo': 1,
    'born': 1_700_000_000_000,
}
NESTING = 100_000
HUGE = 10**400


def entry(**fields):
    """Return an entry with other values of some fields."""
    return json.dumps({**SERVER, **fields}).encode()


ODD_ENTRIES = {
    'deeply nested': b'[' * NESTING + b']' * NESTING,
    'deeply nested field': entry(slots=None).replace(
        b'null', b'{"a":' * NESTING + b'1' + b'}' * NESTING
    ),
    'unclosed nesting': b'{"service":' * NESTING,
    'nested below the limit of the decoder': entry(zone=None).replace(
        b'null', b'[' * 900 + b']' * 900
    ),
    'huge slots': entry(slots=HUGE),
    'huge sequence': entry(seqNo=HUGE),
    'huge start': entry(born=HUGE),
    'negative start': entry(born=-HUGE),
    'more digits than an integer may have': entry(slots=None).replace(b'null', b'9' * 10_000),
    'infinite slots': entry(slots=None).replace(b'null', b'1e999'),
    'no number': entry(slots=float('nan')),
    'endless cold period': entry(coldRemaining='9' * 400 + 's'),
    'port out of range': entry(address='127.0.0.1:65536'),
    'huge port': entry(address='127.0.0.1:' + '9' * 5000),
    'negative port': entry(address='127.0.0.1:-1'),
    'port zero': entry(address='127.0.0.1:0'),
    'no port': entry(address='127.0.0.1'),
    'host name': entry(address='a server:80'),
    'host with a line break': entry(address='127.0.0.1\r\nx: y:80'),
    'address out of range': entry(address='300.1.1.1:80'),
    'lone surrogate as a version': entry(version='\ud800'),
    'lone surrogate as a zone': entry(zone='\ud800'),
    'unknown state': entry(state='resting'),
    'long text': entry(version='v' * 500_000),
    'list as a state': entry(state=['ready']),
}
# Entries at the limits of what is accepted.
EXTREME_ENTRIES = {
    'most slots': entry(slots=1_000_000),
    'fewest slots': entry(slots=-1_000_000),
    'highest sequence': entry(seqNo=2**63 - 1),
    'lowest sequence': entry(seqNo=1 - 2**63),
    'latest start': entry(born=2**63 - 1),
    'earliest start': entry(born=1 - 2**63),
    'longest cold period': entry(coldRemaining='1000000000000s'),
    'unknown zone': entry(zone='nowhere'),
    'name of other letters': entry(version='\u7248\u672c', zone='\u00e9'),
    'long name': entry(version='v' * 200),
}
MEMBER = {
    'instance_id': 'odd',
    'incarnation': 'a',
    'failure_domain': 'almaty-a',
    'region': 'almaty',
    'caller_address': '127.0.0.1:9',
    'peer_address': '127.0.0.1:9',
    'forward_address': '127.0.0.1:9',
}
ODD_MEMBER_FIELDS = (
    {'peer_address': '127.0.0.1:65536'},
    {'peer_address': 'nowhere'},
    {'peer_address': '127.0.0.1:' + '9' * 5000},
    {'peer_address': 'a b:80'},
    {'caller_address': '\ud800'},
    {'forward_address': 'x:y'},
    {'failure_domain': '\ud800'},
    {'region': 'nowhere', 'failure_domain': 'nowhere'},
    {'incarnation': '\ud800'},
    {'instance_id': 'front-1'},
    {'instance_id': ''},
)
ODD_KEYS = ('servers/', 'servers/a b', 'servers/a\r\nx: y', 'servers/\u00e9')


@pytest.fixture
def deployment(loop, tmp_path):
    """Return a running deployment."""
    created = gateway_deployment.Deployment(loop, tmp_path)
    yield created
    loop.run(created.close())


async def check_service(deployment):
    """Check that requests are answered, and that changes of the store are followed."""
    state = deployment.gateway._state
    await deployment.loop.until(
        lambda: state.replica.revision >= deployment.store.database.revision
    )
    for number in range(4):
        response = await deployment.call('front', f'/stock/{number}'.encode())
        assert response.status == 200
    version = state.declared.configuration.version + 1
    deployment.configure(version, ['/stock/', '/new/'])
    await deployment.loop.until(lambda: state.declared.configuration.version == version)
    assert (await deployment.call('front', b'/new/1')).status == 200


@pytest.mark.parametrize('name', ODD_ENTRIES)
def test_odd_entry_stops_neither_requests_nor_changes(deployment, name):
    """Guards against an entry that ends the instances, or their watch, again and again."""

    async def scenario():
        await deployment.until_ready()
        deployment.store.put('servers/odd', ODD_ENTRIES[name])
        await check_service(deployment)
        assert list(deployment.gateway._state.servers.views) == ['s-1']

    deployment.loop.run(scenario())


@pytest.mark.parametrize('name', EXTREME_ENTRIES)
def test_extreme_entry_stops_neither_requests_nor_messages_to_peers(deployment, name):
    """Guards against an entry that is accepted and fails in the choice of a server or a message."""

    async def scenario():
        await deployment.until_ready()
        deployment.store.put('servers/odd', EXTREME_ENTRIES[name])
        state = deployment.gateway._state
        await check_service(deployment)
        view = state.servers.views['odd']
        request = models.RolloutRequest('stock', view.server.version, 12_000, 1)
        state.rollouts.apply_request(request, 0)
        key = state.rollouts.result_key(view.server, 'r-1')
        state.rollouts.record_sent(key, 0)
        counted = state.rollouts.report_with((), with_former=True)
        state.rollouts.active.pop('stock')
        sent = (
            messages.Heartbeat('a', 1, True, False, versions=counted),
            messages.CrashSeen('f', view.server.incarnation),
        )
        encoder = codec.Codec(registry.collect_message_types((messages,)))
        assert [encoder.decode(encoder.encode(message)) for message in sent] == list(sent)
        await check_service(deployment)

    deployment.loop.run(scenario())


@pytest.mark.parametrize('key', ODD_KEYS)
def test_odd_key_stops_neither_requests_nor_changes(deployment, key):
    """Guards against a key that ends the instances, or is copied into requests to servers."""

    async def scenario():
        await deployment.until_ready()
        deployment.store.put(key, entry(address=f'127.0.0.1:{deployment.server_port}'))
        await check_service(deployment)
        assert list(deployment.gateway._state.servers.views) == ['s-1']

    deployment.loop.run(scenario())


@pytest.mark.parametrize('fields', ODD_MEMBER_FIELDS)
def test_odd_registration_of_an_instance_stops_neither_requests_nor_changes(deployment, fields):
    """Guards against a registration of another writer that ends the instances that dial it."""

    async def scenario():
        await deployment.until_ready()
        record = json.dumps({**MEMBER, **fields}).encode()
        deployment.store.put(f'{const.PREFIX_MEMBER}odd', record)
        await check_service(deployment)
        await deployment.loop.until(lambda: deployment.gateway._driver.transport)
        await deployment.loop.wait(0.6)
        await check_service(deployment)

    deployment.loop.run(scenario())
