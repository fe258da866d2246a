"""Settings of a gateway."""

import json
import pathlib
import re

import pytest

from rhubarbspar.gateway import settings
from rhubarbspar.helpers import errors

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy' / 'settings.jsonc'
BOUNDS = {
    'grace': '5s',
    'retryBudgetRatio': 0.2,
    'retryBudgetSlack': 56,
    'budgetWindow': '12s',
    'exposureShare': 0.1,
    'exposureSlack': 50,
}
STORE_BOUNDS = {'valueBytes': 2_097_152}
VALUES = {
    'node': '"front-1"',
    'zone': '"almaty-a"',
    'region': '"almaty"',
    'zones': '{"almaty-a": "almaty"}',
    'listen.front': '"10.1.0.23:8389"',
    'listen.ready': '"10.1.0.23:8384"',
    'listen.directory': '"10.1.0.23:8385"',
    'provider': json.dumps({'address': '10.200.1.7:8382', 'form': 'kv', **STORE_BOUNDS}),
    'provider.address': '"10.200.1.7:8382"',
    'bounds': json.dumps(BOUNDS),
    'ip': '10.1.0.23',
    'internalPorts.0': '7460',
    'internalPorts.1': '7461',
}


def fill_template(values):
    """Return the settings template with its placeholders replaced; absent values leave nothing."""
    section = re.compile(r'{{#(\w+)}}(.*?){{/\1}}')
    text = section.sub(lambda match: match[2] if match[1] in values else '', TEMPLATE.read_text())
    fill = re.compile(r'{{([\w.]+)(?:\|json)?}}')
    return fill.sub(lambda match: values.get(match[1], ''), text)


@pytest.fixture
def load(tmp_path):
    """Return a function that writes the filled template to a file and loads it."""

    def write_and_load(values):
        path = tmp_path / 'settings.jsonc'
        path.write_text(fill_template(values))
        return settings.load(path)

    return write_and_load


@pytest.fixture
def settings_path(tmp_path):
    """Return the path of the settings template with its placeholders replaced."""
    path = tmp_path / 'settings.jsonc'
    path.write_text(fill_template(VALUES))
    return path


def test_template_makes_valid_settings(settings_path):
    """Guards against a deployed template that the gateway rejects."""
    loaded = settings.load(settings_path)
    assert loaded.regions == {'almaty-a': 'almaty'}
    assert loaded.peer_address == '10.1.0.23:7460'
    assert loaded.bounds.stop_grace == 5000
    assert loaded.bounds.retry_window == 12_000
    assert loaded.bounds.store_content_bytes == 2_097_152
    assert loaded.defaulted_bounds == ()


@pytest.mark.parametrize(
    ('before', 'after', 'key'),
    [
        ('"5s"', '"5"', 'grace'),
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


@pytest.mark.parametrize('missing', BOUNDS)
def test_missing_bound_gets_a_default(load, missing):
    """Guards against a system that does not start because the settings lack a bound."""
    bounds = {name: bound for name, bound in BOUNDS.items() if name != missing}
    loaded = load({**VALUES, 'bounds': json.dumps(bounds)})
    (name,) = loaded.defaulted_bounds
    assert getattr(loaded.bounds, name) == getattr(settings.Bounds(), name)


@pytest.mark.parametrize('bounds', ['', '{}', '{"grace": null}'])
def test_settings_without_bounds_are_valid(load, bounds):
    """Guards against a template that is no valid file when the platform gives no bounds."""
    loaded = load({**VALUES, 'bounds': bounds, 'provider': '{}'})
    assert loaded.bounds == settings.Bounds()
    assert len(loaded.defaulted_bounds) == len(BOUNDS) + len(STORE_BOUNDS)


def test_unknown_bounds_are_ignored(load):
    """Guards against a system that does not start because of a bound of a newer platform."""
    newer = {**BOUNDS, 'strictRevoke': False, 'maxSkew': '6000ms', 'added': {'a': [1]}}
    assert load({**VALUES, 'bounds': json.dumps(newer)}) == load(VALUES)


@pytest.mark.parametrize('missing', [name for name in VALUES if name != 'bounds'])
def test_missing_identity_or_address_names_file_and_line(load, missing):
    """Guards against a gateway that starts under half an identity, or an error without a place."""
    with pytest.raises(errors.InvalidFileError, match=r'settings.jsonc:\d+'):
        load({name: text for name, text in VALUES.items() if name != missing})


def test_settings_without_end_are_unreadable():
    """Guards against a start that reads a device until the memory is used up."""
    with pytest.raises(errors.UnreadableFileError, match='larger than'):
        settings.load('/dev/zero')


def test_own_names_of_bounds_go_first(tmp_path, settings_path):
    """Guards against files written by hand whose bounds are not read."""
    text = settings_path.read_text()
    settings_path.write_text(
        text.replace('"platform_bounds"', '"bounds": {"stop_grace": "3s"},\n"platform_bounds"')
    )
    assert settings.load(settings_path).bounds.stop_grace == 3000


def test_address_that_two_purposes_share_is_noticed(load):
    """Guards against drawn ports that are equal, so that one of them can never be opened."""
    loaded = load({**VALUES, 'internalPorts.1': VALUES['internalPorts.0']})
    assert not loaded.has_forward_port
    assert load(VALUES).has_forward_port
    assert load({**VALUES, 'internalPorts.0': '9464'}).shares_metrics_port
    assert not load(VALUES).shares_metrics_port


API = {
    'address': '10.200.1.9:8390',
    'ratePerS': 100,
    'duties': ['usage_report'],
    'dutyPerS': 40,
}


def test_usage_reports_are_off_unless_the_platform_asks_for_them(load):
    """Guards against duties in deployments that have none, and bounds that seem to be missing."""
    loaded = load(VALUES)
    assert loaded.usage_api is None
    assert loaded.defaulted_bounds == ()
    other_duties = json.dumps({**API, 'duties': ['other']})
    assert load({**VALUES, 'cloudApi': other_duties}).usage_api is None


def test_usage_api_and_its_bounds_come_from_the_platform(load):
    """Guards against a duty with other windows than those of the platform."""
    bounds = {**BOUNDS, 'reportWindow': '4s', 'usageLate': '9s', 'lease_time': '2500ms'}
    more = {'usageTolerance': 0.05, 'thawSlack': '300ms', 'fencing': False}
    values = {**VALUES, 'cloudApi': json.dumps(API), 'bounds': json.dumps({**bounds, **more})}
    loaded = load(values)
    assert (loaded.usage_api.address, loaded.usage_api.calls_per_s) == ('10.200.1.9:8390', 40)
    assert loaded.bounds.report_window == 4000
    assert loaded.bounds.usage_late == 9000
    assert loaded.bounds.lease_time == 2500


def test_bad_address_of_the_usage_api_is_named(load):
    """Guards against a duty whose calls can never succeed."""
    api = {**API, 'address': 'cloud'}
    with pytest.raises(errors.InvalidFileError, match=r'settings.jsonc:\d+.*usage_api'):
        load({**VALUES, 'cloudApi': json.dumps(api)})
