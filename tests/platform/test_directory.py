"""Tests of the lookup and readiness codec."""

import json

from rhubarbspar.http1 import messages
from rhubarbspar.platform import directory


def test_lookup_is_decoded():
    """Guards against a lookup whose region or failure domain is lost or misread."""
    request = messages.Request(b'GET', b'/resolve?name=a&region=norte&zone=norte-a', ())
    assert directory.decode_lookup(request) == directory.Lookup('norte', 'norte-a')
    assert directory.decode_lookup(messages.Request(b'GET', b'/other', ())) is None


def test_lookup_answer_lists_addresses_and_ttl():
    """Guards against an answer that callers cannot parse."""
    answer = json.loads(directory.encode_lookup(('10.1.0.23:8389',), 1000).body)
    assert answer == {'frontAddresses': ['10.1.0.23:8389'], 'ttl': '1000ms'}


def test_readiness_status():
    """Guards against reporting ready while the instance is shutting down."""
    assert directory.encode_readiness(True).status == 200
    assert directory.encode_readiness(False).status == 503
