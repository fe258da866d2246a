"""Fuzz tests of the record decoder: any program may write records to the store."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from rhubarbspar.platform import errors
from rhubarbspar.platform import records
from tests.platform import test_records

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
JSON_SCALARS = strategies.none() | strategies.booleans() | strategies.integers() | strategies.text()
JSON_DOCUMENTS = strategies.recursive(
    JSON_SCALARS,
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=8,
)
KEYS = ('op/config', 'servers/i-1', 'op/rollout/s', 'status/rollout/s', 'fleet/instances/f')


def decode_or_reject(key, content):
    """Decode a record; only ``RecordError`` is permitted."""
    try:
        records.decode(key, content, 1)
    except errors.RecordError:
        return


@pytest.mark.parametrize('key', KEYS)
@SETTINGS
@hypothesis.given(content=strategies.binary(max_size=60))
def test_arbitrary_bytes_are_decoded_or_rejected(key, content):
    """Guards against a record whose decoding ends the task that watches the store."""
    decode_or_reject(key, content)


@pytest.mark.parametrize('field', sorted(test_records.SERVER))
@SETTINGS
@hypothesis.given(content=JSON_DOCUMENTS)
def test_arbitrary_server_field_is_decoded_or_rejected(field, content):
    """Guards against a server record with a field of an unexpected type."""
    decode_or_reject('servers/i-1', json.dumps({**test_records.SERVER, field: content}).encode())


@pytest.mark.parametrize('field', sorted(test_records.CONFIGURATION))
@SETTINGS
@hypothesis.given(content=JSON_DOCUMENTS)
def test_arbitrary_configuration_part_is_decoded_or_rejected(field, content):
    """Guards against a configuration with one malformed part."""
    decode_or_reject(
        'op/config', json.dumps({**test_records.CONFIGURATION, field: content}).encode()
    )
