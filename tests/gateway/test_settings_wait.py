"""Settings that are written while a gateway starts."""

import pytest

from rhubarbspar.gateway import settings
from rhubarbspar.gateway import settings_wait
from rhubarbspar.helpers import errors
from tests.gateway import test_settings


@pytest.fixture
def clock(monkeypatch):
    """Replace the time; return a list of functions of which one is called at each pause."""
    pauses = []
    now_s = [0.0]

    def sleep(duration_s):
        now_s[0] += duration_s
        if pauses:
            pauses.pop(0)()

    monkeypatch.setattr(settings_wait.time, 'sleep', sleep)
    monkeypatch.setattr(settings_wait.time, 'monotonic', lambda: now_s[0])
    return pauses


@pytest.mark.parametrize('before', [None, '', '{', '{"instance_id": "front-1"}'])
def test_settings_that_come_late_or_in_parts_are_read(tmp_path, clock, before):
    """Guards against a process that ends because the platform is still writing its settings."""
    path = tmp_path / 'settings.jsonc'
    if before is not None:
        path.write_text(before)
    text = test_settings.fill_template(test_settings.VALUES)
    clock.extend([lambda: None, lambda: path.write_text(text)])
    assert settings_wait.load(str(path)) == settings.load(path)


@pytest.mark.parametrize('content', [None, '{'])
def test_settings_that_stay_bad_end_the_start(tmp_path, clock, content):
    """Guards against a process that waits for its settings for good."""
    path = tmp_path / 'settings.jsonc'
    if content is not None:
        path.write_text(content)
    with pytest.raises((errors.InvalidFileError, errors.UnreadableFileError)):
        settings_wait.load(str(path))
