"""Look-ups and readiness as the platform spells them."""

import json

from rhubarbspar.http1 import messages
from rhubarbspar.platform import directory


def test_lookup_is_read():
    """Guards against callers that are sent to another region."""
    request = messages.Request(b'GET', b'/resolve?name=a&region=norte&zone=norte-a', ())
    assert directory.decode_lookup(request) == directory.Lookup('norte', 'norte-a')
    assert directory.decode_lookup(messages.Request(b'GET', b'/other', ())) is None


def test_answer_names_instances():
    """Guards against an answer that callers cannot read."""
    answer = json.loads(directory.encode_lookup(('10.1.0.23:8389',), 1000).body)
    assert answer == {'frontAddresses': ['10.1.0.23:8389'], 'ttl': '1000ms'}


def test_readiness():
    """Guards against callers that are sent to an instance that leaves."""
    assert directory.encode_readiness(True).status == 200
    assert directory.encode_readiness(False).status == 503
