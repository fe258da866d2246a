"""Tests of instance settings."""

import json
import pathlib
import typing

import pytest

from rhubarbspar.helpers import errors
from rhubarbspar.server import settings

_FLEET_KEY = 'fleet-secret-0123456789-0123456789'
_OPERATOR_KEY = 'operator-secret-0123456789'
_SEED = {
    'instance_id': 'almaty-2-a',
    'failure_domain': 'almaty-2',
    'peer_address': '127.0.0.1:8101',
    'caller_address': '127.0.0.1:8100',
}


def _write(folder: pathlib.Path, **changes: typing.Any) -> pathlib.Path:
    members = {
        'admin_address': '127.0.0.1:8002',
        'caller_address': '127.0.0.1:8000',
        'failure_domain': 'almaty-1',
        'fleet_key': _FLEET_KEY,
        'instance_id': 'almaty-1-a',
        'instance_list_url': 'http://127.0.0.1:2380/v1/instances',
        'operator_key': _OPERATOR_KEY,
        'peer_address': '[::1]:8001',
        'store_url': 'http://127.0.0.1:2379',
        **changes,
    }
    present = {key: member for key, member in members.items() if member is not None}
    path = folder / 'settings.jsonc'
    lines = [f'{json.dumps(key)}: {json.dumps(member)},' for key, member in present.items()]
    path.write_text('\n'.join(('{', *lines, '}')))
    return path


def test_settings_are_read_with_defaults(tmp_path: pathlib.Path) -> None:
    """Guards against a secret in ``repr``, and against defaults that differ from the docs."""
    loaded = settings.load(_write(tmp_path))
    assert (loaded.instance_id, loaded.lookup_ttl_ms) == ('almaty-1-a', 2000)
    assert (loaded.fleet_key, loaded.operator_key) == (_FLEET_KEY, _OPERATOR_KEY)
    assert 'secret' not in repr(loaded)


def test_secrets_are_read_from_files(tmp_path: pathlib.Path) -> None:
    """Guards against a trailing newline of the file that becomes part of the key."""
    (tmp_path / 'fleet.key').write_text(f'{_FLEET_KEY}\n')
    path = _write(tmp_path, fleet_key=None, fleet_key_file='fleet.key')
    assert settings.load(path).fleet_key == _FLEET_KEY


@pytest.mark.parametrize(
    ('key', 'member'),
    [
        ('admin_address', '127.0.0.1:0'),
        ('admin_address', '127.0.0.1:65536'),
        ('admin_address', '0.0.0.0:80'),
        ('admin_address', 'localhost:80'),
        ('admin_address', '::1:80'),
        ('caller_address', '127.0.0.1:8002'),
        ('caller_address', 8000),
        ('failure_domain', ''),
        ('failure_domain', 'a/b'),
        ('fleet_key', 'secret'),
        ('log_level', 'loud'),
        ('lookup_ttl_ms', True),
        ('lookup_ttl_ms', 60000),
        ('metrics_path', '/v1/lookup'),
        ('operator_key', 'secret secret secret'),
        ('peer_address', None),
        ('seed_peers', ['127.0.0.1']),
        ('seed_peers', [{**_SEED, 'peer_address': '127.0.0.1'}]),
        ('store_url', 'https://127.0.0.1:2379'),
        ('surprise', 1),
    ],
)
def test_wrong_setting_is_named(tmp_path: pathlib.Path, key: str, member: typing.Any) -> None:
    """Guards against an instance that starts with an invalid setting, and a leaked secret."""
    path = _write(tmp_path, **{key: member})
    with pytest.raises(errors.InvalidFileError) as caught:
        settings.load(path)
    (problem,) = caught.value.problems
    lines = path.read_text().splitlines()
    assert key in str(problem)
    assert problem.line == 1 + next((i for i, line in enumerate(lines) if f'"{key}":' in line), 0)
    assert 'secret secret' not in str(problem)
    assert _FLEET_KEY not in str(problem)


def test_secret_given_twice_is_refused(tmp_path: pathlib.Path) -> None:
    """Guards against a secret given in two places of which one is silently ignored."""
    with pytest.raises(errors.InvalidFileError, match='exactly one of operator_key and'):
        settings.load(_write(tmp_path, operator_key_file='operator.key'))


def test_all_errors_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against reporting only the first of several mistakes in a file."""
    path = _write(tmp_path, admin_address='x', surprise=1, store_url='ftp://127.0.0.1:1')
    with pytest.raises(errors.InvalidFileError) as caught:
        settings.load(path)
    assert len(caught.value.problems) == 3


def test_seed_peers_are_read(tmp_path: pathlib.Path) -> None:
    """Guards against seed peers that are never dialed because they were not read."""
    loaded = settings.load(_write(tmp_path, seed_peers=[_SEED]))
    assert loaded.seed_peers == (settings.SeedPeer(**_SEED),)
