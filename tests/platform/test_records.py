"""Tests of the codec of store records."""

import json

import pytest

from rhubarbspar.gateway import models
from rhubarbspar.platform import errors
from rhubarbspar.platform import records

SERVER = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'almaty-a',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'coldRemaining': '1500ms',
    'seqNo': 4,
    'born': 1_700_000_000_000,
}
CONFIGURATION = {
    'version': 'r7',
    'routes': {
        'columns': [
            *('name', 'host', 'pathPrefix', 'routeType', 'timeout', 'targetLatency'),
            *('priority', 'trafficSplit', 'maxAttempts', 'sticky', 'homeRegions', 'service'),
        ],
        'rows': [
            [
                *('r-1', 'Jepu9.example', '/lepu270/', 'safe', '1000ms', '250ms'),
                *(2, [{'service': 'huvo11a', 'weight': 90}, {'service': 'kafi81c', 'weight': 10}]),
                *(2, True, ['almaty'], None),
            ],
            [
                *('r-2', 'hulo84.example', '/xapu221/', 'unsafe', '1.2s', '300ms'),
                *(1, None, 2, None, None, 'wuno96b'),
            ],
        ],
    },
    'services': {
        'columns': ['name', 'healthPath', 'maxConns', 'coldStart', 'coldPerS'],
        'rows': [['huvo11a', '/health', 330, '3s', 7.3]],
    },
    'limits': {'maxHeaderBytes': 9000, 'maxBodyBytes': 70, 'headerTimeout': '2s'},
    'tenants': {
        'columns': ['name', 'apiKeys', 'ratePerS', 'burst'],
        'rows': [['yefi830', ['key-a', 'key-b'], 124, 60]],
    },
}


def decode(key, document):
    """Decode a document as the record of a key, at revision 12."""
    return records.decode(key, json.dumps(document).encode(), 12)


def test_backend_server_is_decoded():
    """Guards against a server record that is ignored or decoded with a wrong address or time."""
    server = decode('servers/i-1', SERVER)
    assert (server.server_id, server.host, server.port) == ('i-1', '10.128.0.9', 8080)
    assert (server.cold_ms, server.started_unix_ms, server.sequence) == (1500, 1_700_000_000_000, 4)


@pytest.mark.parametrize(
    ('field', 'content'),
    [
        ('service', None),
        ('address', '10.0.0.1'),
        ('address', 7),
        ('state', 'resting'),
        ('slots', 'three'),
        ('seqNo', True),
        ('coldRemaining', 5),
        ('born', 1.5),
    ],
)
def test_malformed_server_record_is_rejected(field, content):
    """Guards against routing requests by a record that no backend server wrote."""
    with pytest.raises(errors.RecordError):
        decode('servers/i-1', {**SERVER, field: content})


@pytest.mark.parametrize('content', [b'', b'\xff', b'[]', b'{"a":'])
def test_content_that_is_not_a_json_object_is_rejected(content):
    """Guards against an exception that ends the task that watches the store."""
    with pytest.raises(errors.RecordError):
        records.decode('servers/i-1', content, 1)


def test_configuration_is_decoded():
    """Guards against routes, accounts, services or limits that decoding loses or changes."""
    configuration = decode('op/config', CONFIGURATION)
    (split,) = configuration.routes_by_host['jepu9.example']
    (plain,) = configuration.routes_by_host['hulo84.example']
    assert configuration.version == 7
    assert [target.weight for target in split.targets] == [90, 10]
    assert split.idempotent
    assert split.sticky
    assert split.home_regions == {'almaty'}
    assert (plain.idempotent, plain.timeout_ms, plain.sticky) == (False, 1200, False)
    assert configuration.accounts_by_key['key-b'].rate_per_s == 124
    assert configuration.limits.header_timeout_ms == 2000
    assert configuration.limits.idle_timeout_ms == models.DEFAULT_IDLE_TIMEOUT_MS
    assert configuration.services['huvo11a'].cold_ms == 3000


def test_orders_take_their_subject_from_the_key():
    """Guards against applying an order to another service or failure domain."""
    order = decode('op/rollout/huvo11a', {'targetVersion': 'v2', 'duration': '12s'})
    assert order == models.RolloutRequest('huvo11a', 'v2', 12_000, 12)
    assert decode('op/evacuate/almaty-a', {}) == models.Evacuation('almaty-a')


def test_status_and_member_round_trip():
    """Guards against records that other instances cannot decode."""
    status = models.RolloutStatus('huvo11a', 'v2', 'running', 12)
    content = records.encode_status(status)
    assert records.decode(records.rollout_status_key('huvo11a'), content, 12) == status
    member = models.Member(
        'front-1', 'a', 'almaty-a', 'almaty', '10.0.0.1:80', '10.0.0.1:81', link_mbit_per_s=60
    )
    content = records.encode_member(member)
    assert records.decode(records.member_key('front-1'), content, 12) == member


def test_unknown_keys_are_ignored():
    """Guards against errors about records of other programs."""
    assert records.decode('other/key', b'no document', 1) is None
