"""Requests and responses as the platform spells them."""

import pytest

from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.http1 import messages
from rhubarbspar.platform import requests
from tests.gateway import conftest

REQUEST = messages.Request(
    b'POST',
    b'/lepu270/2f?q=1',
    (
        (b'host', b'Jepu9.example:80'),
        (b'x-rhubarbspar-attempt-id', b'9c41'),
        (b'cookie', b'a=b; X-Rhubarbspar-Affinity-Key=17'),
        (b'x-rhubarbspar-deadline-ms', b'4000'),
        (b'authorization', b'Bearer secret'),
        (b'x-rhubarbspar-tenant', b'forged'),
        (b'connection', b'keep-alive'),
        (b'x-other', b'kept'),
    ),
    b'body',
)


def attempt(account_id='yefi830'):
    """Return an attempt at a server."""
    server = conftest.make_server('i-7f3a')
    return effects.StartAttempt(1, 2, server, account_id, 1234.6, 300)


def test_request_is_decoded():
    """Guards against a wrong route, account or deadline."""
    request = requests.decode_request(REQUEST, 5)
    assert (request.host, request.path, request.method) == ('jepu9.example', '/lepu270/2f', 'POST')
    assert (request.access_key, request.object_key) == ('secret', '17')
    assert request.deadline_ms == 4000


def test_server_gets_the_account_and_never_the_key():
    """Guards against a key that a backend server sees, and an account that the caller claims."""
    headers = requests.encode_attempt(REQUEST, attempt()).headers
    names = [name for name, _ in headers]
    assert b'authorization' not in names
    assert b'connection' not in names
    assert names.count(b'x-rhubarbspar-tenant') == 1
    assert messages.find_header(headers, b'x-rhubarbspar-tenant') == b'yefi830'
    assert messages.find_header(headers, b'x-rhubarbspar-deadline-ms') == b'1234'
    assert messages.find_header(headers, b'x-rhubarbspar-target-instance') == b'i-7f3a'
    assert messages.find_header(headers, b'x-rhubarbspar-attempt-id') == b'9c41'
    assert messages.find_header(headers, b'x-other') == b'kept'


def test_claimed_account_is_dropped_without_a_key():
    """Guards against an account that the caller claims on a public route."""
    headers = requests.encode_attempt(REQUEST, attempt(account_id=None)).headers
    assert messages.find_header(headers, b'x-rhubarbspar-tenant') is None


@pytest.mark.parametrize(
    ('response', 'result'),
    [
        (messages.Response(200), events.AttemptResult.ANSWERED),
        (messages.Response(500), events.AttemptResult.ANSWERED),
        (messages.Response(421), events.AttemptResult.WRONG_INSTANCE),
        (
            messages.Response(503, ((b'x-rhubarbspar-not-executed', b'1'),)),
            events.AttemptResult.NOT_RUN,
        ),
        (messages.Response(503), events.AttemptResult.ANSWERED),
        (messages.Response(200, ((b'content-encoding', b'gzip'),)), events.AttemptResult.MALFORMED),
    ],
)
def test_only_the_server_says_that_nothing_ran(response, result):
    """Guards against a second run after a response that promises nothing."""
    assert requests.classify_response(response) == result


@pytest.mark.parametrize('raw', [b'', b'1,2', b'a,b,c', b'1,2,3,4', b'-1,0,3'])
def test_load_that_cannot_be_read_is_none(raw):
    """Guards against a load of zero where nothing is known."""
    assert (
        requests.decode_load_report(messages.Response(200, ((b'x-rhubarbspar-server-load', raw),)))
        is None
    )


def test_load_is_read():
    """Guards against fields in another order."""
    response = messages.Response(200, ((b'x-rhubarbspar-server-load', b'3,1,8'),))
    assert requests.decode_load_report(response) == events.LoadReport(running=3, waiting=1, slots=8)


def test_refusal_tells_when_to_return():
    """Guards against callers that come back at once, or never."""
    response = requests.encode_refusal(effects.Refuse(1, 503, 'servers_full', 250))
    assert messages.find_header(response.headers, b'retry-after') == b'0.25'
    assert b'servers_full' in response.body


def test_fingerprint_covers_target_and_body():
    """Guards against blaming a request for the crashes of another."""
    other = messages.Request(REQUEST.method, REQUEST.target, REQUEST.headers, b'other')
    first = requests.decode_request(REQUEST, 1).fingerprint
    assert first == requests.decode_request(REQUEST, 2).fingerprint
    assert first != requests.decode_request(other, 3).fingerprint
