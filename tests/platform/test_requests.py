"""Tests of the codec of requests and responses."""

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


def make_attempt(account_id='yefi830'):
    """Return the effect that starts an attempt at a server."""
    server = conftest.make_server('i-7f3a')
    return effects.StartAttempt(1, 2, server, account_id, 1234.6, 300)


def test_request_is_decoded():
    """Guards against routing or admission by a wrongly decoded host, key, cookie or deadline."""
    request = requests.decode_request(REQUEST, 5)
    assert (request.host, request.path, request.method) == ('jepu9.example', '/lepu270/2f', 'POST')
    assert (request.access_key, request.object_key) == ('secret', '17')
    assert request.caller_timeout_ms == 4000


def test_backend_server_gets_the_account_but_not_the_key():
    """Guards against forwarding the access key, or an account header that the caller forged."""
    headers = requests.encode_attempt(REQUEST, make_attempt()).headers
    names = [name for name, _ in headers]
    assert b'authorization' not in names
    assert b'connection' not in names
    assert names.count(b'x-rhubarbspar-tenant') == 1
    assert messages.find_header(headers, b'x-rhubarbspar-tenant') == b'yefi830'
    assert messages.find_header(headers, b'x-rhubarbspar-deadline-ms') == b'1234'
    assert messages.find_header(headers, b'x-rhubarbspar-target-instance') == b'i-7f3a'
    assert messages.find_header(headers, b'x-rhubarbspar-attempt-id') == b'9c41'
    assert messages.find_header(headers, b'x-other') == b'kept'


def test_forged_account_header_is_removed_without_a_key():
    """Guards against forwarding a forged account header on a public route."""
    headers = requests.encode_attempt(REQUEST, make_attempt(account_id=None)).headers
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
def test_only_explicit_responses_count_as_not_run(response, result):
    """Guards against running a request twice after a response that does not rule out a run."""
    assert requests.classify_response(response) == result


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'1,2',
        b'a,b,c',
        b'-1,0,3',
        b'1,2,x,100',
        b'1,2,' + b'9' * 5000,
        b'1' + b'0' * 30 + b',0,3',
    ],
)
def test_malformed_load_report_is_none(raw):
    """Guards against taking a malformed load report for an idle server."""
    assert (
        requests.decode_load_report(messages.Response(200, ((b'x-rhubarbspar-server-load', raw),)))
        is None
    )


@pytest.mark.parametrize(
    ('raw', 'slowness'),
    [
        (b'3,1,8', None),
        (b'3,1,8,140', 1.4),
        (b'3, 1, 8, 50.0', 0.5),
        (b'3,1,8,140,7', 1.4),
        (b'3,1,8,140,x,y,z', 1.4),
        (b'3,1,8,', None),
        (b'3,1,8,x', None),
        (b'3,1,8,0', None),
        (b'3,1,8,-100', None),
        (b'3,1,8,nan', None),
        (b'3,1,8,inf', None),
    ],
)
def test_load_report_is_decoded(raw, slowness):
    """Guards against mixing up the figures of a load report, and dropping it for further ones."""
    response = messages.Response(200, ((b'x-rhubarbspar-server-load', raw),))
    assert requests.decode_load_report(response) == events.LoadReport(3, 1, 8, slowness)


@pytest.mark.parametrize(
    ('raw', 'limit_per_s'),
    [
        (b'4.8', 4.8),
        (b'0', 0),
        (b'12', 12),
        (b'', None),
        (b'x', None),
        (b'-1', None),
        (b'inf', None),
    ],
)
def test_rate_limit_is_decoded(raw, limit_per_s):
    """Guards against ignoring the limit that a server names, or taking a malformed one for 0."""
    response = messages.Response(503, ((b'server-limit', raw),))
    assert requests.decode_rate_limit(response) == limit_per_s
    assert requests.decode_rate_limit(messages.Response(200)) is None


def test_refusal_has_a_retry_after_in_seconds():
    """Guards against callers that retry at once, or much too late because of a wrong unit."""
    response = requests.encode_refusal(effects.Refuse(1, 503, 'servers_full', 250))
    assert messages.find_header(response.headers, b'retry-after') == b'0.25'
    assert b'servers_full' in response.body


def test_fingerprint_covers_target_and_body():
    """Guards against blocking a request for crashes that a different request caused."""
    other = messages.Request(REQUEST.method, REQUEST.target, REQUEST.headers, b'other')
    first = requests.decode_request(REQUEST, 1).fingerprint
    assert first == requests.decode_request(REQUEST, 2).fingerprint
    assert first != requests.decode_request(other, 3).fingerprint


@pytest.mark.parametrize(('raw', 'leaving'), [(b'1', True), (b'0', False), (b'yes', False)])
def test_leaving_is_decoded(raw, leaving):
    """Guards against requests to a server that leaves, or avoiding one that does not."""
    response = messages.Response(200, ((b'server-leaving', raw),))
    assert requests.decode_leaving(response) is leaving
    assert not requests.decode_leaving(messages.Response(200))


@pytest.mark.parametrize(
    ('status', 'raw', 'retry_after_ms'),
    [
        (503, b'2', 2000),
        (503, b'0.25', 250),
        (503, b'1e9', 300_000),
        (503, b'-1', None),
        (503, b'nan', None),
        (503, b'inf', None),
        (503, b'soon', None),
        (429, b'2', None),
        (200, b'2', None),
    ],
)
def test_retry_after_of_a_server_is_decoded(status, raw, retry_after_ms):
    """Guards against ignoring the pause that a server asks for, or one without end."""
    response = messages.Response(status, ((b'retry-after', raw),))
    assert requests.decode_retry_after_ms(response) == retry_after_ms
    assert requests.decode_retry_after_ms(messages.Response(503)) is None
