"""Tests of revisions and freshness under faults, with four reducers and a fake store.

The fleet checks two invariants at every tick: no instance goes back to a lower revision, and none
accepts access keys later than 4 s after the store last held their revision, unless it was down.
"""

import itertools
import typing
from collections import abc

import hypothesis
import pytest
from hypothesis import strategies

MakeFleet = abc.Callable[..., typing.Any]

FAULTS = (
    'none',
    'drop',
    'delay',
    'duplicate',
    'slow',
    'down',
    'cut almaty-1',
    'cut astana-1',
    'pause a',
    'pause c',
)
STEPS = strategies.lists(
    strategies.tuples(strategies.sampled_from(FAULTS), strategies.integers(1, 120)),
    min_size=1,
    max_size=8,
)


def _begin_fault(fleet: typing.Any, fault: str, duration_ms: int) -> None:
    match fault.split():
        case ['down']:
            fleet.store.down = True
        case ['cut', failure_domain]:
            fleet.cut.add(failure_domain)
        case ['pause', instance_id]:
            fleet.paused_until_ms[instance_id] = fleet.now_ms + duration_ms
        case _:
            fleet.faults.add(fault)


def _run_with_fault(fleet: typing.Any, fault: str, ticks: int) -> None:
    """Run with one fault for a number of ticks, with a write halfway that it may delay."""
    _begin_fault(fleet, fault, ticks * 50)
    fleet.run(ticks // 2 * 50)
    fleet.write()
    fleet.run((ticks - ticks // 2) * 50)
    fleet.store.down = False
    fleet.cut.clear()
    fleet.faults.clear()


def _assert_converges(fleet: typing.Any) -> None:
    fleet.run(5000)
    assert set(fleet.revisions.values()) == {fleet.store.revision}
    assert all(fleet.usable())


@hypothesis.settings(
    deadline=None,
    max_examples=30,
    suppress_health_check=[
        hypothesis.HealthCheck.function_scoped_fixture,
        hypothesis.HealthCheck.too_slow,
    ],
)
@hypothesis.given(
    steps=STEPS, seed=strategies.integers(0, 1000), fail_ms=strategies.sampled_from([0, 1000])
)
def test_invariants_hold_under_any_faults(
    make_fleet: MakeFleet, steps: list[tuple[str, int]], seed: int, fail_ms: int
) -> None:
    """Guards against stale access keys, lost revisions and a fleet that does not recover."""
    fleet = make_fleet(seed, fail_ms)
    for fault, ticks in steps:
        _run_with_fault(fleet, fault, ticks)
    _assert_converges(fleet)


@pytest.mark.parametrize(('first', 'second'), list(itertools.product(FAULTS, repeat=2)))
def test_invariants_hold_when_two_faults_overlap(
    make_fleet: MakeFleet, first: str, second: str
) -> None:
    """Guards against the same failures for every pair of faults, as random steps may miss some."""
    fleet = make_fleet()
    _begin_fault(fleet, first, 5000)
    fleet.run(1250)
    _run_with_fault(fleet, second, 90)
    _assert_converges(fleet)


@pytest.mark.parametrize('fail_ms', [0, 1000])
@pytest.mark.parametrize('offset_ms', range(0, 1200, 100))
def test_keys_stay_usable_while_the_store_is_down(
    make_fleet: MakeFleet, fail_ms: int, offset_ms: int
) -> None:
    """Guards against refusals of valid access keys during an outage of the store and after it."""
    fleet = make_fleet(fail_ms=fail_ms)
    fleet.run(offset_ms)
    fleet.store.down = True
    fleet.run(15_000)
    fleet.store.down = False
    fleet.run(5000)
    assert not any(fleet.refused_ms.values())


def test_cut_off_domain_refuses_and_recovers(make_fleet: MakeFleet) -> None:
    """Guards against revoked access keys that a partitioned failure domain still accepts."""
    fleet = make_fleet()
    fleet.cut.add('astana-1')
    fleet.run(4100)
    assert fleet.usable() == [True, True, False, True]
    fleet.cut.clear()
    _assert_converges(fleet)


def test_changes_refuse_no_request(make_fleet: MakeFleet) -> None:
    """Guards against refusals of valid access keys at each change of the configuration."""
    fleet = make_fleet()
    for _ in range(20):
        fleet.write()
        fleet.run(350)
    assert not any(fleet.refused_ms.values())


def test_revisions_of_a_rolled_back_store_are_not_adopted(make_fleet: MakeFleet) -> None:
    """Guards against revoked access keys that become valid again by an old backup of the store."""
    fleet = make_fleet()
    fleet.write()
    _assert_converges(fleet)
    fleet.roll_back(1)
    fleet.run(6000)
    assert set(fleet.revisions.values()) == {2}
    assert not any(fleet.usable())
    fleet.store.revision = 2
    fleet.write()
    _assert_converges(fleet)
