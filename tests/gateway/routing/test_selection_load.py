"""Server selection under load, compared with the alternatives that were weighed.

Pattern of the load: servers with three slots and a queue of nine, and instances that each see a
small part of the load; reports reach the other instances about a second later. The assertions are
bounds with room. The figures of the comparisons are in docs/design/server_selection.md.
"""

import statistics

from rhubarbspar.gateway import models
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
