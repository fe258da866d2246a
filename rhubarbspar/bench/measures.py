"""What users measure, for both deployments, calm and under each class of fault."""

import collections
import dataclasses
import functools
import pickle
import sys
import typing
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar.bench import backends
from rhubarbspar.bench import callers
from rhubarbspar.bench import deployment
from rhubarbspar.bench import fault_classes
from rhubarbspar.bench import models
from rhubarbspar.bench import wide_fleet
from rhubarbspar.core import models as core_models

LOAD_SHARE: typing.Final = 0.8
LOAD_SHARE_HALF: typing.Final = 0.5
LEAD_MS: typing.Final = 1_000
PERCENT: typing.Final = 100
PERCENTILES: typing.Final = (50, 99)
SAMPLE_MS: typing.Final = 50
SETTLE_MS: typing.Final = 8_000
WARM_UP_MS: typing.Final = 25_000

Shown: typing.TypeAlias = dict[str, models.Parameter]


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Which runs to make; an empty name chooses all."""

    share: float
    deployment: str
    fault: str


def measures(seed: int, *, name: str = '', fault: str = '') -> abc.Iterator[models.Figure]:
    """Measure every fault class on every deployment at 0.8 of the slots."""
    yield from _measure(Choice(LOAD_SHARE, name, fault), seed)


def measures_half(seed: int, *, name: str = '', fault: str = '') -> abc.Iterator[models.Figure]:
    """Measure every fault class on every deployment at 0.5 of the slots."""
    yield from _measure(Choice(LOAD_SHARE_HALF, name, fault), seed)


def _measure(choice: Choice, seed: int) -> abc.Iterator[models.Figure]:
    for name in deployment.DEPLOYMENTS:
        if choice.deployment in {'', name}:
            yield from _measure_deployment(name, choice, seed)


def _measure_deployment(name: str, choice: Choice, seed: int) -> abc.Iterator[models.Figure]:
    """Run the calm class first, since the others are compared with it."""
    warm = pickle.dumps(warmed_up(deployment.load(name), seed))
    calm: list[float] = []
    for fault in fault_classes.FAULT_CLASSES:
        if fault != fault_classes.CALM and choice.fault not in {'', fault}:
            continue
        sys.stderr.write(f'  {name} at {choice.share} of the slots: {fault}\n')
        run: fault_classes.Run = pickle.loads(warm)
        headroom = measure_headroom(run, fault, choice.share)
        latencies = [_percentile(run, rank) for rank in PERCENTILES]
        calm = calm or latencies
        shown: Shown = {'deployment': name, 'fault': fault, 'share_of_slots': choice.share}
        make = functools.partial(_figure, seed, shown)
        yield from _latency(make, latencies, calm)
        yield from _headroom(make, headroom)
        yield from _service(make, run, fault)


def warmed_up(deployed: deployment.Deployment, seed: int) -> fault_classes.Run:
    """Return a run in which every server is owned and warm."""
    fleet = wide_fleet.Fleet(deployed, seed)
    servers = backends.Backends(fleet)
    sending = callers.Callers(fleet, seed)
    fleet.run(WARM_UP_MS)
    return fault_classes.Run(fleet, servers, sending)


def measure_headroom(run: fault_classes.Run, fault: str, share: float) -> dict[str, int]:
    """Send load, apply a fault, and return the least headroom by region."""
    chosen = fault_classes.FAULT_CLASSES[fault]
    fleet = run.fleet
    end_ms = fleet.now_ms + LEAD_MS + chosen.watched_ms
    if chosen.overload:
        run.callers.keyed_only = _largest(run)
    run.callers.send_load(_rates_per_s(run, chosen.overload, share), end_ms)
    least: dict[str, int] = {}
    fleet.schedule(LEAD_MS, functools.partial(chosen.begin, run))
    if chosen.ends_after_ms:
        fleet.schedule(LEAD_MS + chosen.ends_after_ms, fleet.end_faults_and_cuts)
    sample = functools.partial(_sample, run, least, end_ms)
    fleet.schedule(LEAD_MS, sample)
    fleet.run(LEAD_MS + chosen.watched_ms)
    _settle(run)
    return least


def _rates_per_s(run: fault_classes.Run, overload: bool, share: float) -> dict[str, float]:
    accounts = run.fleet.configuration.client_accounts
    rates_per_s = {name: share * account.rate_per_s for name, account in accounts.items()}
    if overload:
        largest = _largest(run)
        rates_per_s[largest] = fault_classes.OVERLOAD * accounts[largest].rate_per_s
    return rates_per_s


def _largest(run: fault_classes.Run) -> str:
    accounts = run.fleet.configuration.client_accounts
    return max(accounts, key=lambda name: accounts[name].rate_per_s)


def _settle(run: fault_classes.Run) -> None:
    """Run on until every call has ended and a stopping instance has exited."""
    last_ms = run.fleet.now_ms + SETTLE_MS
    while run.fleet.now_ms < last_ms:
        stopping = run.leaving_id in run.fleet.nodes
        if not stopping and run.callers.all_ended():
            return
        run.fleet.run(SAMPLE_MS)


def _sample(run: fault_classes.Run, least: dict[str, int], end_ms: float) -> None:
    for region in run.fleet.deployed.regions:
        free = run.servers.free_slots(region)
        least[region] = min(free, least.get(region, free))
    if run.fleet.now_ms < end_ms:
        run.fleet.schedule(SAMPLE_MS, functools.partial(_sample, run, least, end_ms))


def _figure(
    seed: int, shown: Shown, name: str, value: float, unit: str, **more: models.Parameter
) -> models.Figure:
    return models.Figure(f'measures.{name}', value, unit, seed, {**shown, **more})


_Make: typing.TypeAlias = abc.Callable[..., models.Figure]


def _latency(make: _Make, latencies: list[float], calm: list[float]) -> abc.Iterator[models.Figure]:
    for rank, added_ms, calm_ms in zip(PERCENTILES, latencies, calm, strict=True):
        yield make(f'added_latency_p{rank}', added_ms, 'ms')
        yield make(f'added_latency_p{rank}_ratio', added_ms / calm_ms, 'x calm')


def _headroom(make: _Make, least: dict[str, int]) -> abc.Iterator[models.Figure]:
    for region, free in least.items():
        yield make('headroom', float(free), 'free slots', region=region)


def _service(make: _Make, run: fault_classes.Run, fault: str) -> abc.Iterator[models.Figure]:
    calls = run.callers.calls
    sent = len(calls)
    account_id, served = _worst_served(run, fault)
    yield make('worst_served', served, 'of due', account=account_id)
    yield make('refused_within_rate', _refused_within_rate(run, fault), '%', requests=sent)
    for reason, refused in sorted(_refusals(calls).items()):
        yield make('refused', float(refused), 'requests', reason=reason, requests=sent)
    unanswered = [call for call in calls if call.unanswered]
    yield make('unanswered', float(len(unanswered)), 'requests', requests=sent)
    twice = [key for key, count in run.servers.executions.items() if count > 1]
    yield make('run_twice', float(len(twice)), 'requests')
    yield make('lost', float(sum(call.result is None for call in calls)), 'requests')
    yield make('overloads', float(run.servers.overloads), 'requests')
    yield from _drain(make, run)


def _drain(make: _Make, run: fault_classes.Run) -> abc.Iterator[models.Figure]:
    server = run.servers.servers.get(run.leaving_id)
    if server is not None:
        received_s = (server.received_ms - run.leaving_ms) / package_const.MS_PER_S
        ended_s = (server.ended_ms - run.leaving_ms) / package_const.MS_PER_S
        yield make('drain_last_new_work', max(0.0, received_s), 's')
        yield make('drain_last_end', max(0.0, ended_s), 's')
    elif run.leaving_id:
        answered_s = (run.left_ms - run.leaving_ms) / package_const.MS_PER_S
        exited_s = (run.exited_ms - run.leaving_ms) / package_const.MS_PER_S
        yield make('drain_last_end', answered_s, 's')
        yield make('drain_exit', exited_s, 's')


def _percentile(run: fault_classes.Run, rank: int) -> float:
    added = sorted(call.added_ms for call in run.callers.calls if call.answered)
    return added[min(len(added) - 1, len(added) * rank // PERCENT)]


def _refusals(calls: list[callers.Call]) -> collections.Counter[str]:
    refused: collections.Counter[str] = collections.Counter()
    for call in calls:
        if isinstance(call.result, core_models.Refused) and not call.unanswered:
            refused[call.result.reason] += 1
    return refused


def _worst_served(run: fault_classes.Run, fault: str) -> tuple[str, float]:
    """Return the account with the least answered share of its due.

    The due is what the account sent, but no more than its burst and rate allow.
    """
    chosen = fault_classes.FAULT_CLASSES[fault]
    sent_s = (LEAD_MS + chosen.watched_ms) / package_const.MS_PER_S
    shares: dict[str, float] = {}
    for account in run.fleet.configuration.client_accounts.values():
        calls = [call for call in run.callers.calls if call.account_id == account.account_id]
        keyed = sum(not call.route.open_to_all for call in calls)
        entitled = account.burst_requests + account.rate_per_s * sent_s
        due = len(calls) - keyed + min(keyed, entitled)
        shares[account.account_id] = sum(call.answered for call in calls) / due
    worst = min(shares, key=shares.__getitem__)
    return worst, shares[worst]


def _refused_within_rate(run: fault_classes.Run, fault: str) -> float:
    """Return the share of requests refused as over the rate of accounts that keep to it."""
    over = _largest(run) if fault_classes.FAULT_CLASSES[fault].overload else ''
    within = [call for call in run.callers.calls if call.account_id != over]
    limited = _refusals(within)[package_const.REASON_RATE_LIMITED]
    return PERCENT * limited / len(within)
