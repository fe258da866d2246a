"""The soak's checks find what they are there for."""

import pytest

from tests.soak import checks
from tests.soak import models

ENDED_S = 40.0


def served(attempt_id, sent_s, **fields):
    """Return a request that was answered, as the caller saw it."""
    members = {
        'idempotent': True,
        'key': 'key-1',
        'instance': 0,
        'sent_s': sent_s,
        'ended_s': sent_s + 0.1,
        'status': 200,
        'body': f'answer to {attempt_id}'.encode(),
        **fields,
    }
    return models.Sent(attempt_id, **members)


def run(attempt_id, began_s, **fields):
    """Return a request at a backend server."""
    members = {'server_id': 's-1', 'account_id': 'workshop', 'key_seen': False, **fields}
    return models.Run(attempt_id, began_s=began_s, **members)


@pytest.fixture
def ledger():
    """Return a calm run that keeps every promise."""
    kept = models.Ledger()
    for number in range(20):
        sent_s = 20.0 + number
        kept.sent[f'a-{number}'] = served(f'a-{number}', sent_s)
        kept.runs.append(run(f'a-{number}', sent_s))
    return kept


def test_calm_run_breaks_nothing(ledger):
    """Guards against checks that fail a sound run."""
    assert checks.violations(ledger, ENDED_S) == []


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        ({'idempotent': False}, 'ran 2 times'),
        ({'status': 503}, 'refused with 503'),
        ({'status': 429}, 'refused with 429'),
        ({'body': b'answer to a-9'}, 'got'),
        ({'status': 401}, 'denied with 401'),
        ({'status': 404}, 'denied with 404'),
    ],
)
def test_broken_promise_to_a_caller_is_found(ledger, change, expected):
    """Guards against a soak that passes whatever the gateways do."""
    ledger.sent['a-1'] = served('a-1', 21.0, **change)
    ledger.runs.append(run('a-1', 21.0))
    (found,) = checks.violations(ledger, ENDED_S)
    assert expected in found


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        ({'key_seen': True}, 'showed its key'),
        ({'account_id': 'other'}, 'ran for account other'),
        ({'attempt_id': 'forged'}, 'no caller sent it'),
    ],
)
def test_broken_promise_to_a_server_is_found(ledger, change, expected):
    """Guards against keys and accounts that nobody looks at."""
    members = {'attempt_id': 'a-2', 'began_s': 22.0, **change}
    ledger.runs[2] = run(**members)
    found = checks.violations(ledger, ENDED_S)
    assert any(expected in line for line in found)


def test_request_to_a_leaving_server_is_found_unless_a_fault_was_near(ledger):
    """Guards against drains that nobody checks, and against blame for an outage."""
    ledger.draining_s['s-1'] = 30.0
    found = checks.violations(ledger, ENDED_S)
    assert found
    assert all('began to leave' in line for line in found)
    ledger.disturbed.append(models.Trouble(30.0, 40.0))
    assert checks.violations(ledger, ENDED_S) == []


def test_request_with_a_withdrawn_key_is_found(ledger):
    """Guards against keys that stay valid."""
    ledger.revoked_s['key-1'] = 30.0
    ledger.sent['own'] = served('own', 39.0, key='key-2')
    ledger.runs.append(run('own', 39.0))
    found = checks.violations(ledger, ENDED_S)
    assert found
    assert all('after its key was withdrawn' in line for line in found)


def test_request_cut_by_a_planned_stop_is_found(ledger):
    """Guards against stops that drop what they have begun."""
    ledger.sent['a-3'] = served('a-3', 23.0, status=0, body=b'')
    assert checks.violations(ledger, ENDED_S) == []
    ledger.stops_s.append((0, 22.5))
    (found,) = checks.violations(ledger, ENDED_S)
    assert 'cut by the planned stop' in found


def test_fleet_that_does_not_recover_is_found(ledger):
    """Guards against a soak that ends before anybody asks again."""
    for number in range(18, 20):
        ledger.sent[f'a-{number}'].status = 502
    found = checks.violations(ledger, ENDED_S)
    assert any('were served after the faults' in line for line in found)


@pytest.mark.parametrize(
    ('stopped_s', 'expected'), [(24.0, 'ended with -9'), (None, 'ended by itself with -9')]
)
def test_process_that_does_not_stop_as_planned_is_found(ledger, stopped_s, expected):
    """Guards against a process that outlives its planned stop or ends without one."""
    ledger.exits.append(models.Exit(2, -9, stopped_s, 30.0))
    (found,) = checks.violations(ledger, ENDED_S)
    assert expected in found
