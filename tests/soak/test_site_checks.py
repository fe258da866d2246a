"""The checks of the operators' deployment find what they are there for."""

import random

import pytest

from tests.soak import models
from tests.soak import site_checks
from tests.soak import sites

ENDED_S = 60.0


def answered(number, **fields):
    """Return a request that was answered."""
    attempt_id = f'a-{number}'
    sent_s = 20.0 + number / 4
    members = {
        'attempt_id': attempt_id,
        'idempotent': True,
        'key': 'key-1',
        'instance': 0,
        'sent_s': sent_s,
        'ended_s': sent_s + 0.3,
        'status': 200,
        'body': models.answer(attempt_id),
        'seal': f'{attempt_id}.200',
        'end': 'answered',
        'service_id': 'stock',
        'timeout_s': 2.0,
        'due_s': sent_s + 3,
        'reused': True,
        **fields,
    }
    return models.Sent(**members)


def arrival(sent, **fields):
    """Return the arrival of a request at a backend server."""
    members = {
        'attempt_id': sent.attempt_id,
        'server_id': 's-1',
        'at_s': sent.sent_s,
        'service_id': 'stock',
        'domain': 'almaty-a',
        'version': 'v1',
        'is_cold': False,
        **fields,
    }
    return models.Arrival(**members)


def run(sent, **fields):
    """Return a request that a backend server has run."""
    members = {'server_id': 's-1', 'service_id': 'stock', 'account_id': 'workshop', **fields}
    return models.Run(sent.attempt_id, began_s=sent.sent_s, key_seen=False, **members)


@pytest.fixture
def ledger():
    """Return a calm run that keeps every promise."""
    kept = models.Ledger()
    kept.quotas.append([(10.0, 10.0)])
    for number in range(160):
        sent = answered(number)
        kept.sent[sent.attempt_id] = sent
        kept.arrivals.append(arrival(sent))
        kept.runs.append(run(sent))
    return kept


def lose(ledger):
    """Close the connection of a request that a server has begun."""
    ledger.sent['a-80'] = answered(80, status=0, body=b'', seal='', end='closed')


def stop(ledger):
    """Stop the instance while it serves a request, and lose the request."""
    lose(ledger)
    ledger.stops_s.append((0, 39.9))


def reload(ledger):
    """Reload the settings of the instance while it serves a request, and lose the request."""
    lose(ledger)
    ledger.reloads_s.append((0, 40.1))


def lose_four(ledger):
    """Close four connections without planned work."""
    for number in range(4):
        ledger.sent[f'a-{number}'] = answered(number, status=0, seal='', end='reset')


def run_elsewhere(ledger):
    """Run a request at another service."""
    ledger.runs[5] = run(ledger.sent['a-5'], service_id='orders')


def keep_removed_route(ledger):
    """Serve a route that was removed."""
    ledger.sent['a-5'] = answered(5, service_id='', is_probe=True)


def miss_added_route(ledger):
    """Deny a route that was added."""
    ledger.sent['a-5'] = answered(5, status=404, seal='', is_probe=True)


def exceed_quota(ledger):
    """Run more requests of an account than it may have."""
    for number in range(100):
        sent = answered(number, attempt_id=f'b-{number}', sent_s=40.0, seal=f'b-{number}.200')
        sent.body = models.answer(sent.attempt_id)
        ledger.sent[sent.attempt_id] = sent
        ledger.runs.append(run(sent))


def rush_cold_server(ledger):
    """Send a cold server too much at once."""
    for number in range(80, 100):
        sent = answered(number, sent_s=40.0)
        ledger.sent[sent.attempt_id] = sent
        ledger.arrivals[number] = arrival(sent, is_cold=True)


def retry_often(ledger):
    """Retry all requests."""
    ledger.arrivals.extend(arrival(sent) for sent in tuple(ledger.sent.values()))
    ledger.arrivals.extend(arrival(sent) for sent in tuple(ledger.sent.values()))


def reach_evacuated_domain(ledger):
    """Serve in a domain long after its evacuation."""
    ledger.evacuations.append(models.Evacuation('almaty-a', 50.0, 58.0))


def expose_bad_version(ledger):
    """Send most requests to a bad version."""
    ledger.rollouts.append(models.Rollout('stock', 'v1', True, 20.0, 40.0))


def hold_too_much(ledger):
    """Use more memory than planned."""
    ledger.usages.append(models.Usage(3, 200.0, 100))


def leave_seal_away(ledger):
    """Answer with a success that no server has sealed."""
    ledger.sent['a-5'].seal = ''


def test_calm_run_breaks_nothing(ledger):
    """Guards against checks that fail a sound run."""
    assert site_checks.violations(ledger, ENDED_S) == []


@pytest.mark.parametrize(
    ('change', 'rule'),
    [
        (stop, 'LOST'),
        (reload, 'LOST'),
        (lose_four, 'LOST'),
        (run_elsewhere, 'ROUTE'),
        (keep_removed_route, 'CONFIG'),
        (miss_added_route, 'CONFIG'),
        (exceed_quota, 'QUOTA'),
        (rush_cold_server, 'FAILBACK'),
        (retry_often, 'BUDGET'),
        (reach_evacuated_domain, 'EVAC'),
        (expose_bad_version, 'EXPOSURE'),
        (hold_too_much, 'FAULT'),
        (leave_seal_away, 'MIXED'),
    ],
)
def test_broken_rule_is_found(ledger, change, rule):
    """Guards against a soak that passes whatever the gateways do."""
    change(ledger)
    found = site_checks.violations(ledger, ENDED_S)
    assert found
    assert {line.partition(':')[0] for line in found} == {rule}


def test_single_loss_beside_a_fault_of_the_instance_is_excused(ledger):
    """Guards against blame for what a fault of the machine itself has ended."""
    stop(ledger)
    ledger.disturbed.append(models.Trouble(38.0, 39.0, 0))
    assert site_checks.violations(ledger, ENDED_S) == []


def test_loss_beside_a_fault_of_the_store_is_found(ledger):
    """Guards against a store that excuses requests cut by a planned stop."""
    stop(ledger)
    ledger.disturbed.append(models.Trouble(38.0, 39.0, is_core=True))
    assert site_checks.violations(ledger, ENDED_S)


def test_days_are_drawn_by_the_seed():
    """Guards against seeds that cannot be played again."""
    assert sites.draw(random.Random(7), 7) == sites.draw(random.Random(7), 7)
