"""Records that any program may have written."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from rhubarbspar.platform import errors
from rhubarbspar.platform import records
from tests.platform import test_records

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
LEAVES = strategies.none() | strategies.booleans() | strategies.integers() | strategies.text()
DOCUMENTS = strategies.recursive(
    LEAVES,
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=8,
)
KEYS = ('op/config', 'servers/i-1', 'op/rollout/s', 'status/rollout/s', 'fleet/instances/f')


def read(key, content):
    """Read a record; one that cannot be read is nothing else than that."""
    try:
        records.decode(key, content, 1)
    except errors.RecordError:
        return


@pytest.mark.parametrize('key', KEYS)
@SETTINGS
@hypothesis.given(content=strategies.binary(max_size=60))
def test_any_bytes_are_read_or_refused(key, content):
    """Guards against a record that ends the task which follows the store."""
    read(key, content)


@pytest.mark.parametrize('field', sorted(test_records.SERVER))
@SETTINGS
@hypothesis.given(content=DOCUMENTS)
def test_any_field_of_a_server_is_read_or_refused(field, content):
    """Guards against an entry whose fields have other types than usual."""
    read('servers/i-1', json.dumps({**test_records.SERVER, field: content}).encode())


@pytest.mark.parametrize('field', sorted(test_records.CONFIGURATION))
@SETTINGS
@hypothesis.given(content=DOCUMENTS)
def test_any_part_of_a_configuration_is_read_or_refused(field, content):
    """Guards against a configuration that is damaged in one part."""
    read('op/config', json.dumps({**test_records.CONFIGURATION, field: content}).encode())
