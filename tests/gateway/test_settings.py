"""Settings of a gateway."""

import pathlib
import re

import pytest

from rhubarbspar.gateway import settings
from rhubarbspar.helpers import errors

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy' / 'settings.jsonc'
VALUES = {
    'node': '"front-1"',
    'zone': '"almaty-a"',
    'region': '"almaty"',
    'zones': '{"almaty-a": "almaty"}',
    'listen.front': '"10.1.0.23:8389"',
    'listen.ready': '"10.1.0.23:8384"',
    'listen.directory': '"10.1.0.23:8385"',
    'provider.address': '"10.200.1.7:8382"',
    'bounds.grace': '"6s"',
    'bounds.retryBudgetRatio': '0.2',
    'bounds.retryBudgetSlack': '56',
    'bounds.budgetWindow': '"10s"',
    'bounds.exposureShare': '0.1',
    'bounds.exposureSlack': '50',
    'ip': '10.1.0.23',
    'internalPorts.0': '7460',
    'internalPorts.1': '7461',
}


@pytest.fixture
def settings_path(tmp_path):
    """Return the path of the settings template with its placeholders replaced."""
    text = TEMPLATE.read_text()
    path = tmp_path / 'settings.jsonc'
    path.write_text(re.sub(r'{{([\w.]+)(?:\|json)?}}', lambda match: VALUES[match[1]], text))
    return path


def test_template_makes_valid_settings(settings_path):
    """Guards against a deployed template that the gateway rejects."""
    loaded = settings.load(settings_path)
    assert loaded.regions == {'almaty-a': 'almaty'}
    assert loaded.peer_address == '10.1.0.23:7460'
    assert loaded.bounds.stop_grace == 6000
    assert loaded.bounds.retry_window == 10_000


@pytest.mark.parametrize(
    ('before', 'after', 'key'),
    [
        ('"6s"', '"6"', 'stop_grace'),
        ('"10.1.0.23:8389"', '"front"', 'caller_address'),
        ('"region": "almaty",', '', 'region'),
        ('"instance_id"', '"instance"', 'instance'),
    ],
)
def test_bad_settings_name_file_line_and_key(settings_path, before, after, key):
    """Guards against a gateway that starts with invalid settings, or an error without the place."""
    settings_path.write_text(settings_path.read_text().replace(before, after))
    with pytest.raises(errors.InvalidFileError) as caught:
        settings.load(settings_path)
    assert re.search(rf'settings.jsonc:\d+.*{key}', str(caught.value))
