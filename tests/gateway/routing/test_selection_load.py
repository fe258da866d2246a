"""Server selection under load, compared with the alternatives that were weighed.

Pattern of the load: servers with three slots and a queue of nine, and instances that each see a
small part of the load; reports reach the other instances about a second later. The assertions are
bounds with room. The figures of the comparisons are in docs/design/server_selection.md.
"""

import operator
import statistics

import pytest

from rhubarbspar.gateway import models
from rhubarbspar.gateway.routing import groups
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.routing import servers
from tests.gateway.routing import selection_model

SEEDS = (1, 2, 3)
LOOKUPS = models.Route(
    'lookups',
    'shop.example',
    '/stock/',
    True,
    2967,
    475,
    2,
    (models.RouteTarget('stock', 1),),
    2,
)
WORK_MS = 480


def one_region(instances, server_count, utilization, **fields):
    """Return a load of one kind of request in one region, which takes a share of all slots."""
    per_s = utilization * server_count * selection_model.SLOTS / WORK_MS * 1000
    return selection_model.Load(
        {'near': instances},
        {'near': server_count},
        (selection_model.Kind(LOOKUPS, per_s, WORK_MS),),
        **fields,
    )


def outcomes(instances, server_count, utilization, **fields):
    """Return the outcomes of a load with several seeds."""
    return [
        selection_model.run(one_region(instances, server_count, utilization, seed=seed, **fields))
        for seed in SEEDS
    ]


def test_fresh_slowness_shortens_responses(monkeypatch):
    """Guards against a slowness that is ignored, or remembered so long that it misleads."""
    changing = {'slowness_spread': 0.5}
    ignored = outcomes(8, 12, 0.6, **changing)
    fresh = outcomes(8, 12, 0.6, reports_slowness=True, **changing)
    monkeypatch.setattr(servers, 'SLOWNESS_DECAY_MS', 3000)
    remembered = outcomes(8, 12, 0.6, reports_slowness=True, **changing)
    fresh_ms = statistics.mean(outcome.mean_ms for outcome in fresh)
    assert fresh_ms < statistics.mean(outcome.mean_ms for outcome in ignored)
    assert fresh_ms < statistics.mean(outcome.mean_ms for outcome in remembered)


def rejected_share(results):
    """Return the share of the attempts that full servers have refused."""
    return sum(outcome.rejected for outcome in results) / sum(
        outcome.attempts for outcome in results
    )


def least_cost(_choices, best):
    """Leave no other choice than the one of the least cost."""
    return [best]


@pytest.mark.parametrize(('instances', 'server_count'), [(30, 18), (30, 48), (87, 104)])
def test_instances_with_the_same_reports_choose_different_servers(
    monkeypatch, instances, server_count
):
    """Guards against herding: all instances send to one server until it refuses requests."""
    spread = selection_model.run(one_region(instances, server_count, 0.9))
    monkeypatch.setattr(selection, '_equals', least_cost)
    monkeypatch.setattr(groups.random.Random, 'shuffle', lambda _random, _items: None)
    same = selection_model.run(one_region(instances, server_count, 0.9))
    assert spread.served_share > 0.95
    assert rejected_share([spread]) < 0.03
    assert same.served_share < spread.served_share - 0.1
    assert rejected_share([same]) > 5 * rejected_share([spread])


def test_spread_costs_little_time_with_a_few_instances(monkeypatch):
    """Guards against random choices where the reports are good enough to choose the best server."""
    spread = outcomes(8, 12, 0.5)
    monkeypatch.setattr(selection, '_equals', least_cost)
    best = outcomes(8, 12, 0.5)
    mean_ms = operator.attrgetter('mean_ms')
    assert statistics.mean(map(mean_ms, spread)) < 1.05 * statistics.mean(map(mean_ms, best))
    assert all(outcome.served_share > 0.99 for outcome in spread)


def test_open_connections_are_reused(monkeypatch):
    """Guards against new connections for most requests, and against queues to avoid them."""
    preferred = selection_model.run(one_region(30, 48, 0.7))
    monkeypatch.setattr(selection, 'CONNECTION_SHARE', 0)
    ignored = selection_model.run(one_region(30, 48, 0.7))
    assert preferred.opened < 0.95 * ignored.opened
    assert preferred.served_share > ignored.served_share - 0.02
