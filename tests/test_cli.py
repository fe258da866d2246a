"""Tests of the command line."""

import json
import pathlib
import sys
import types

import pytest

from rhubarbspar import cli
from rhubarbspar.server import settings as instance_settings

_OPERATOR_SETTINGS = {
    'instance_list_url': 'http://127.0.0.1:2',
    'operator_key': 'operator-secret-0123456789',
    'store_url': 'http://127.0.0.1:1',
}


def test_version_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a command line that fails to start, for example in an import."""
    with pytest.raises(SystemExit):
        cli.main(['--version'])
    assert capsys.readouterr().out.startswith('0.')


@pytest.mark.parametrize(
    'command',
    [
        'apply',
        'check',
        'drain',
        'explain',
        'instance',
        'keys grant',
        'keys list',
        'keys withdraw',
        'moves status',
        'plan',
        'versions start',
        'versions withdraw',
    ],
)
def test_every_command_has_help(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a command without help, or one that is not registered."""
    with pytest.raises(SystemExit) as caught:
        cli.main([*command.split(), '--help'])
    assert caught.value.code == 0
    assert f'usage: rhubarbspar {command}' in capsys.readouterr().out


@pytest.mark.parametrize('arguments', [[], ['bake'], ['keys'], ['apply', 'answers.jsonc']])
def test_wrong_usage_exits_with_2(arguments: list[str]) -> None:
    """Guards against a usage error that a script takes for success."""
    with pytest.raises(SystemExit) as caught:
        cli.main(arguments)
    assert caught.value.code == 2


def test_wrong_operator_settings_name_the_line_and_no_secret(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an error message that leaks the operator key or names no line."""
    path = tmp_path / 'operator.jsonc'
    path.write_text(json.dumps({**_OPERATOR_SETTINGS, 'operator_key': 'secret'}, indent=1))
    assert cli.main(['keys', 'list', '--settings', str(path)]) == 2
    message = 'operator_key: expected a secret of at least 16 characters'
    assert capsys.readouterr().err == f'rhubarbspar: {path}:3: {message}\n'


def test_connect_reads_the_operator_settings(tmp_path: pathlib.Path) -> None:
    """Guards against settings that are not read, and against an operator key in ``repr``."""
    path = tmp_path / 'operator.jsonc'
    path.write_text(json.dumps(_OPERATOR_SETTINGS))
    environment = cli.connect(str(path))
    assert environment.now_unix_s() > 0
    assert 'operator-secret' not in repr(environment)


def test_instance_runs_the_daemon_with_its_settings(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a daemon started with other settings, and against a lost exit code."""
    path = tmp_path / 'instance.jsonc'
    path.write_text(
        json.dumps(
            {
                **_OPERATOR_SETTINGS,
                'admin_address': '127.0.0.1:3',
                'caller_address': '127.0.0.1:4',
                'failure_domain': 'almaty-1',
                'fleet_key': 'fleet-secret-0123456789-0123456789',
                'instance_id': 'almaty-1-a',
                'peer_address': '127.0.0.1:5',
            },
        ),
    )
    given: list[instance_settings.Settings] = []
    daemon = types.SimpleNamespace(run=lambda settings: given.append(settings) or 4)
    monkeypatch.setitem(sys.modules, 'rhubarbspar.server.daemon', daemon)
    assert cli.main(['instance', '--settings', str(path)]) == 4
    assert given == [instance_settings.load(path)]
