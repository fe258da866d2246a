"""Figures of rollouts: good versions that finish, bad versions that are taken back."""

import dataclasses
import functools
import math
import random
import statistics
import types
import typing
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar.bench import models
from rhubarbspar.bench import scenario
from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.rollout import models as rollout_models
from rhubarbspar.components.rollout import records
from rhubarbspar.components.rollout import reducer as rollout_reducer
from rhubarbspar.core import events
from rhubarbspar.standins import network

INSTANCES: typing.Final = 3
SEEDS: typing.Final = 3
RATES_PER_S: typing.Final = types.MappingProxyType({'/open': 40.0, '/': 20.0})
CAP_SHARE: typing.Final = 0.25
SHARE_NEARLY_MOVED: typing.Final = 0.8
FULL_SHARE: typing.Final = 1.0
DEADLINE_MS: typing.Final = 200_000
CHECK_MS: typing.Final = 500
AFTER_END_MS: typing.Final = 6000
LATE_MS: typing.Final = 6000
SLOWDOWN: typing.Final = 3.0
FAILURE_SHARE: typing.Final = 0.5
USUAL_FAILURE_SHARE: typing.Final = 0.01
LATENCY_LOG_MEAN: typing.Final = 2.5
LATENCY_LOG_DEVIATION: typing.Final = 0.4
UNIX_MS: typing.Final = 1.8e12
MOVE_ID: typing.Final = 'm1'
OLD: typing.Final = 'v1'
NEW: typing.Final = 'v2'
SIZE: typing.Final = scenario.Size(accounts=1, servers=4)


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """What changes, for which versions and routes, once the move has reached a share."""

    name: str
    is_bad: bool = False
    failure_share: float = USUAL_FAILURE_SHARE
    slowdown: float = 1
    from_share: float = 0
    delay_ms: float = 0
    path_prefix: str = ''


DISTURBANCES: typing.Final = (
    Disturbance('calm'),
    Disturbance('all_slow_at_0.8', slowdown=SLOWDOWN, from_share=SHARE_NEARLY_MOVED),
    Disturbance('all_slow_at_full', slowdown=SLOWDOWN, from_share=FULL_SHARE, delay_ms=LATE_MS),
    Disturbance('all_fail_at_0.8', failure_share=FAILURE_SHARE, from_share=SHARE_NEARLY_MOVED),
    Disturbance('fails_at_once', is_bad=True, failure_share=FAILURE_SHARE),
    Disturbance('slow_at_once', is_bad=True, slowdown=SLOWDOWN),
    Disturbance(
        'fails_later',
        is_bad=True,
        failure_share=FAILURE_SHARE,
        from_share=FULL_SHARE,
        delay_ms=LATE_MS,
    ),
    Disturbance('slow_later', is_bad=True, slowdown=SLOWDOWN, from_share=SHARE_NEARLY_MOVED),
    Disturbance('slow_on_one_route', is_bad=True, slowdown=SLOWDOWN, path_prefix='/'),
)


class Trial(network.Network):
    """One move of a small fleet under one disturbance.

    Only the claims and rollout components run, so that many moves fit in a short time: backend servers
    have slots enough, and a request is a choice of version and its observed end.

    Attributes
    ----------
    chosen, requests
        Requests given to the candidate, and all, since the move was configured.
    first_fault_ms
        When the first disturbed request of a bad version ended, or ``None``.
    last_choice_ms
        When the candidate was last chosen.
    """

    def __init__(self, disturbance: Disturbance, seed: int) -> None:
        """Start the fleet and its traffic."""
        self.disturbance = disturbance
        self.chosen = 0
        self.requests = 0
        self.first_fault_ms: float | None = None
        self.last_choice_ms = float(0)
        self._since_ms = math.inf
        self._chance = random.Random(seed)
        domains = {f'instance-{number}': scenario.domain_name(0) for number in range(INSTANCES)}
        super().__init__(_with_move(scenario.configuration(SIZE)), domains, seed)
        for path in RATES_PER_S:
            self._next_request(path)

    def start(self, instance_id: str) -> None:
        """Start an instance whose clock is set."""
        super().start(instance_id)
        node = self.nodes[instance_id]
        node.state.rollout.unix_offset_ms = UNIX_MS - node.offset_ms

    def dispatch(self, instance_id: str, event: events.Event) -> None:
        """Give an event to the two components."""
        state = self.nodes[instance_id].state
        now_ms = self.clock_of(instance_id)
        self.carry_out(instance_id, claims_reducer.reduce(state, event, now_ms))
        self.carry_out(instance_id, rollout_reducer.reduce(state, event, now_ms))

    def run_move(self) -> rollout_models.MoveRecord | None:
        """Run the move to its end and return its record."""
        while self.now_ms <= DEADLINE_MS:
            self.run(CHECK_MS)
            record = self._record()
            if record is None:
                continue
            if record.share >= self.disturbance.from_share and self._since_ms == math.inf:
                self._since_ms = self.now_ms + self.disturbance.delay_ms
            if record.state is not rollout_models.MoveState.UNDER_WAY:
                break
        self.run(AFTER_END_MS)
        return self._record()

    def _record(self) -> rollout_models.MoveRecord | None:
        stored = self.store.records.get(package_const.STORE_PREFIX_MOVES + MOVE_ID)
        return records.parse(stored[0]) if stored else None

    def _heartbeat(self, node: network.Node) -> None:
        self.schedule(network.HEARTBEAT_INTERVAL_MS, functools.partial(self._heartbeat, node))
        report = rollout_reducer.statistics(node.state)
        for peer_id in self.nodes.keys() - {node.instance_id}:
            hear = functools.partial(self._hear, peer_id, node, report)
            self._transmit(node.instance_id, peer_id, hear)

    def _hear(
        self,
        instance_id: str,
        sender: network.Node,
        report: tuple[membership_models.VersionStatistics, ...],
    ) -> None:
        own = sender.state.membership
        peers = self.nodes[instance_id].state.membership.peers
        peers[sender.instance_id] = membership_models.Peer(
            own.own,
            own.incarnation,
            connected=True,
            last_heartbeat_ms=self.clock_of(instance_id),
            statistics=report,
            listed=True,
        )

    def _next_request(self, path: str) -> None:
        gap_ms = self._chance.expovariate(RATES_PER_S[path]) * package_const.MS_PER_S
        self.schedule(gap_ms, functools.partial(self._request, path))

    def _request(self, path: str) -> None:
        self._next_request(path)
        instance_id = self._chance.choice(sorted(self.nodes))
        state = self.nodes[instance_id].state
        version = rollout_reducer.choose_version(
            state, scenario.SERVICE_ID, path, self.clock_of(instance_id)
        )
        self.requests += 1
        if version == NEW:
            self.chosen += 1
            self.last_choice_ms = self.now_ms
        disturbed = self._disturbed(version, path)
        failure_share = self.disturbance.failure_share if disturbed else USUAL_FAILURE_SHARE
        failed = self._chance.random() < failure_share
        latency_ms = self._chance.lognormvariate(LATENCY_LOG_MEAN, LATENCY_LOG_DEVIATION)
        if disturbed:
            latency_ms *= self.disturbance.slowdown
        is_fault = disturbed and (failed or self.disturbance.slowdown > 1)
        finished = _Finished(instance_id, version, path, failed, latency_ms)
        self.schedule(latency_ms, functools.partial(self._end, finished, is_fault))

    def _end(self, finished: '_Finished', is_fault: bool) -> None:
        if is_fault and self.first_fault_ms is None:
            self.first_fault_ms = self.now_ms
        outputs = rollout_reducer.record_attempt(
            self.nodes[finished.instance_id].state,
            scenario.SERVICE_ID,
            finished.version,
            finished.path_prefix,
            finished.failed,
            finished.latency_ms,
            self.clock_of(finished.instance_id),
        )
        self.carry_out(finished.instance_id, outputs)

    def _disturbed(self, version: str, path: str) -> bool:
        if self.now_ms < self._since_ms or self.disturbance.is_bad and version == OLD:
            return False
        return self.disturbance.path_prefix in {'', path}


@dataclasses.dataclass(frozen=True, slots=True)
class _Finished:
    instance_id: str
    version: str
    path_prefix: str
    failed: bool
    latency_ms: float


def rollouts(seed: int) -> abc.Iterator[models.Figure]:
    """Measure good versions done by their deadline and bad versions taken back."""
    for disturbance in DISTURBANCES:
        trials: list[Trial] = []
        ends: list[rollout_models.MoveRecord | None] = []
        for number in range(SEEDS):
            trial = Trial(disturbance, seed * SEEDS + number)
            ends.append(trial.run_move())
            trials.append(trial)
        yield from _figures(disturbance, trials, ends, seed)


def _figures(
    disturbance: Disturbance,
    trials: list[Trial],
    ends: list[rollout_models.MoveRecord | None],
    seed: int,
) -> abc.Iterator[models.Figure]:
    wanted = rollout_models.MoveState.DONE
    if disturbance.is_bad:
        wanted = rollout_models.MoveState.TAKEN_BACK
    reached = [end is not None and end.state is wanted for end in ends]
    shown: dict[str, models.Parameter] = {
        'moves': len(ends),
        'reasons': ' '.join(end.reason or end.state if end else 'none' for end in ends),
    }
    name = f'rollouts.{disturbance.name}'
    yield models.Figure(f'{name}.{wanted}', statistics.mean(reached), '', seed, shown)
    if disturbance.is_bad:
        received = max(trial.chosen / trial.requests for trial in trials)
        yield models.Figure(f'{name}.received', received, 'share of requests', seed)
        lasted_ms = max(trial.last_choice_ms - (trial.first_fault_ms or 0) for trial in trials)
        lasted_s = lasted_ms / package_const.MS_PER_S
        yield models.Figure(f'{name}.until_none', lasted_s, 's', seed)


def _with_move(
    configuration: configuration_models.Configuration,
) -> configuration_models.Configuration:
    service = configuration.services[scenario.SERVICE_ID]
    added = tuple(
        dataclasses.replace(server, server_id=f'{server.server_id}-{NEW}', version=NEW)
        for server in service.backend_servers
    )
    move = configuration_models.Move(
        MOVE_ID,
        configuration_models.MoveKind.VERSION,
        NEW,
        (UNIX_MS + DEADLINE_MS) / package_const.MS_PER_S,
        CAP_SHARE,
        scenario.SERVICE_ID,
        OLD,
    )
    service = dataclasses.replace(service, backend_servers=service.backend_servers + added)
    return dataclasses.replace(
        configuration,
        revision=configuration.revision + 1,
        services={scenario.SERVICE_ID: service},
        moves={MOVE_ID: move},
    )
