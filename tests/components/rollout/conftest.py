"""Simulated fleet of instances with a store, for the tests of the rollout component."""

import dataclasses
import json
import random
from collections import abc

import pytest

from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.configuration import reducer as configuration_reducer
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import models
from rhubarbspar.components.rollout import reducer
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state

TICK_MS = 50.0
UNIX_OFFSET_MS = 1_700_000_000_000.0


class Fleet:
    """Instances, their store and the traffic of one service; simulated time advances in ticks.

    Attributes
    ----------
    holders
        Instances that hold the claim on moves.
    paused, cut_off
        Instances that do not run, and instances that reach neither peers nor the store.
    store_down, attested
        Whether the store is down, and whether a witness attests that.
    choose_store_result
        Chooses how a store call ends: ``done``, ``failed`` before it takes effect, or ``lost``
        after it.
    history
        Times and contents of the records that the instances wrote.
    in_flight
        Requests that have not finished: end, instance, version, path prefix, failed, latency.
    old_faults
        Failure probability and slowdown factor of the old version.
    sent
        Number of requests by version.
    local_shares
        Share last seen in force, by incarnation.
    chosen
        Number of requests and of those for the candidate, by incarnation.
    verdict_ms
        Time of the first verdict that an instance broadcast.
    """

    def __init__(self, configuration: configuration_models.Configuration, count: int, seed: int):
        self.generator = random.Random(seed)
        self.configuration = configuration
        self.now_ms = 0.0
        self.states = {f'i{number}': self.new_state(f'i{number}') for number in range(count)}
        self.holders = {'i0'}
        self.paused: set[str] = set()
        self.cut_off: set[str] = set()
        self.store_down = False
        self.attested = False
        self.choose_store_result: abc.Callable[[effects.Effect], str] = lambda effect: 'done'
        self.stored: dict[str, events.StoreRecord] = {}
        self.revision = 1
        self.history: list[tuple[float, models.MoveRecord]] = []
        self.in_flight: list[tuple[float, str, str, str, bool, float]] = []
        self.old_faults = (0.02, 1.0)
        self.sent: dict[str, int] = {}
        self.local_shares: dict[str, float] = {}
        self.chosen: dict[str, list[int]] = {}
        self.verdict_ms: float | None = None

    def new_state(self, instance_id: str) -> core_state.State:
        """Return the state of an instance that has just started."""
        known = membership_models.KnownPeer(instance_id, 'almaty-1', '', '')
        membership = membership_models.MembershipState(known, f'{instance_id}@{self.now_ms}')
        state = core_state.State(membership)
        state.configuration.current = self.configuration
        state.rollout.unix_offset_ms = UNIX_OFFSET_MS
        return state

    def restart(self, instance_id: str) -> None:
        """Kill an instance and start it again."""
        self.states[instance_id] = self.new_state(instance_id)

    def record(self, move_id: str = 'm1') -> models.MoveRecord | None:
        """Return the last record that was written for a move."""
        records = [record for _, record in self.history if record.move_id == move_id]
        return records[-1] if records else None

    def deliver(self, instance_id: str, event: events.Event) -> None:
        """Pass an event to an instance and perform the effects."""
        outputs = reducer.reduce(self.states[instance_id], event, self.now_ms)
        self.perform(instance_id, outputs)

    def perform(self, instance_id: str, outputs: list[effects.Effect]) -> None:
        """Perform the effects of an instance: broadcasts and store calls."""
        for effect in outputs:
            match effect:
                case effects.Broadcast(message):
                    if isinstance(message, models.Verdict) and self.verdict_ms is None:
                        self.verdict_ms = self.now_ms
                    for peer_id in self.states.keys() - {instance_id} - self.paused - self.cut_off:
                        if instance_id not in self.cut_off:
                            self.deliver(peer_id, events.MessageReceived(instance_id, message))
                case effects.StoreGet() | effects.StoreTransaction():
                    self.deliver(instance_id, self.call_store(instance_id, effect))

    def call_store(
        self, instance_id: str, effect: effects.StoreGet | effects.StoreTransaction
    ) -> events.StoreAnswered:
        """Run a store call, which may fail before it takes effect or lose its answer."""
        result = (
            'failed'
            if self.store_down or instance_id in self.cut_off
            else self.choose_store_result(effect)
        )
        outcome = events.StoreOutcome.SUCCEEDED
        if result != 'failed' and isinstance(effect, effects.StoreTransaction):
            (compare,) = effect.compares
            (put,) = effect.puts
            current = self.stored.get(compare.key)
            if (current.revision if current else 0) == compare.revision:
                self.put(put.key, put.value)
            else:
                outcome = events.StoreOutcome.CONFLICTED
        if result in {'failed', 'lost'}:
            outcome = events.StoreOutcome.FAILED
        records = tuple(self.stored.values()) if isinstance(effect, effects.StoreGet) else ()
        return events.StoreAnswered(effect.tag, outcome, self.now_ms, records, self.revision)

    def put(self, key: str, text: bytes) -> None:
        """Store a record and add it to the history."""
        self.revision += 1
        self.stored[key] = events.StoreRecord(key, text, self.revision)
        raw = json.loads(text)
        state = models.MoveState(raw.pop('state'))
        self.history.append((self.now_ms, models.MoveRecord(state=state, **raw)))

    def overwrite(self, text: bytes) -> None:
        """Change the record of the move without an instance, and without a trace in the history."""
        self.revision += 1
        self.stored['moves/m1'] = events.StoreRecord('moves/m1', text, self.revision)

    def exchange_heartbeats(self) -> None:
        """Let every connected instance receive the statistics of every other one."""
        connected_ids = self.states.keys() - self.paused - self.cut_off
        for sender_id in connected_ids:
            sender = self.states[sender_id]
            peer = membership_models.Peer(
                known=sender.membership.own,
                incarnation=sender.membership.incarnation,
                last_heartbeat_ms=self.now_ms,
                statistics=reducer.statistics(sender),
            )
            for receiver_id in connected_ids - {sender_id}:
                self.states[receiver_id].membership.peers[sender_id] = dataclasses.replace(peer)

    def send_request(
        self, path_prefix: str, failure: float, slowdown: float, instance_id: str = ''
    ) -> None:
        """Send one request.

        ``failure`` is the candidate's failure probability, ``slowdown`` the factor on its latency.
        """
        instance_id = instance_id or self.generator.choice(sorted(self.states.keys() - self.paused))
        state = self.states[instance_id]
        version = reducer.choose_version(state, 'commissions', path_prefix, self.now_ms)
        is_candidate = version == 'v2'
        self.check_choice(state, is_candidate)
        self.sent[version] = self.sent.get(version, 0) + 1
        if not is_candidate:
            failure, slowdown = self.old_faults
        failed = self.generator.random() < failure
        latency_ms = self.generator.lognormvariate(2.5, 0.4) * slowdown
        end_ms = self.now_ms + latency_ms
        self.in_flight.append((end_ms, instance_id, version, path_prefix, failed, latency_ms))

    def check_choice(self, state: core_state.State, is_candidate: bool) -> None:
        """Check that the candidate's requests stay within the share and end with a verdict."""
        counts = self.chosen.setdefault(state.membership.incarnation, [0, 0])
        counts[0] += 1
        counts[1] += is_candidate
        share_max = max((record.share for _, record in self.history), default=0.0)
        assert counts[1] <= share_max * counts[0]
        assert not (is_candidate and state.rollout.verdicts)

    def check_slots(self, state: core_state.State) -> None:
        """Check that the candidate's slots stay within the share and end with a verdict."""
        local = state.rollout.shares.get('m1')
        if local is not None:
            previous_share = self.local_shares.get(state.membership.incarnation, local.share)
            self.local_shares[state.membership.incarnation] = local.share
            assert local.share <= previous_share + 0.25
        usable_slots = sum(reducer.candidate_slots(state, 'commissions', 'v2').values())
        cached = state.rollout.records.get('m1')
        share = cached.record.share if cached and cached.record else 0.0
        assert usable_slots <= (max(1, int(18 * share)) if share else 0)
        if state.rollout.verdicts:
            assert usable_slots == 0
            assert not reducer.accepts_work(state, 'commissions-almaty-1-2', self.now_ms)

    def check_history(self) -> None:
        """Check the order of the records written.

        Shares rise by at most the cap, 2 s apart. A verdict is never reverted. A rollout is done
        after 60 s at the full share.
        """
        steps = [(0.0, models.MoveRecord('m1', models.MoveState.UNDER_WAY, 0.0, '', 0.0))]
        steps += self.history
        for (earlier_ms, earlier), (later_ms, later) in zip(steps, steps[1:], strict=False):
            assert later.move_id == 'm1'
            if earlier.reason in const.VERDICT_REASONS:
                assert later == dataclasses.replace(earlier, changed_unix_s=later.changed_unix_s)
                continue
            if later.state is models.MoveState.TAKEN_BACK:
                assert later.share == 0
                continue
            assert earlier.state is models.MoveState.UNDER_WAY
            assert earlier.share <= later.share <= earlier.share + (0.25 if earlier.share else 0.05)
            assert earlier.share == 0 or later_ms - earlier_ms >= 2000
            is_drain = self.configuration.moves['m1'].kind is configuration_models.MoveKind.DRAIN
            if later.state is models.MoveState.DONE and not is_drain:
                assert earlier.share == 1
                assert later_ms - earlier_ms >= 60_000

    def tick(self) -> None:
        """Advance the time by one tick, finish the requests that end in it and check the fleet."""
        self.now_ms += TICK_MS
        finished = [request for request in self.in_flight if request[0] <= self.now_ms]
        self.in_flight = [request for request in self.in_flight if request[0] > self.now_ms]
        for _, instance_id, version, path_prefix, failed, latency_ms in finished:
            outputs = reducer.record_attempt(
                self.states[instance_id],
                'commissions',
                version,
                path_prefix,
                failed,
                latency_ms,
                self.now_ms,
            )
            self.perform(instance_id, outputs)
        if self.now_ms % 200 < TICK_MS:
            self.exchange_heartbeats()
        for instance_id in sorted(self.states.keys() - self.paused):
            self.deliver(instance_id, events.Tick())
            if self.states[instance_id].rollout.tests or self.verdict_ms is not None:
                self.check_slots(self.states[instance_id])
        self.check_history()

    def run(
        self,
        duration_ms: float,
        rate_per_s: float = 0.0,
        faults: abc.Callable[[str, float], tuple[float, float]] = lambda path, now_ms: (0.02, 1.0),
    ) -> None:
        """Run traffic on two routes until the duration has passed or the move has ended.

        ``faults`` returns the candidate's failure probability and slowdown for a path and a time.
        """
        end_ms = self.now_ms + duration_ms
        due_requests = 0.0
        while self.now_ms < end_ms:
            due_requests += rate_per_s * TICK_MS / 1000
            while due_requests >= 1:
                due_requests -= 1
                path_prefix = self.generator.choices(('/', '/orders'), (0.7, 0.3))[0]
                self.send_request(path_prefix, *faults(path_prefix, self.now_ms))
            self.tick()
            record = self.record()
            if record is not None and record.state is not models.MoveState.UNDER_WAY:
                return


@pytest.fixture
def make_fleet(
    configuration: configuration_models.Configuration, monkeypatch: pytest.MonkeyPatch
) -> abc.Callable[..., Fleet]:
    """Return a factory of simulated fleets with one move, a rollout from ``v1`` to ``v2``.

    The claim on moves, liveness and the attestation of a store outage are taken from the fleet.
    """
    fleets: list[Fleet] = []

    def holds(state: core_state.State, name: str, now_ms: float) -> bool:
        own_id = state.membership.own.instance_id
        return name == const.CLAIM_MOVES and own_id in fleets[-1].holders

    def live_peers(state: core_state.State, now_ms: float) -> list[membership_models.Peer]:
        return [peer for _, peer in sorted(state.membership.peers.items())]

    def make(count: int = 3, seed: int = 0, **changes: object) -> Fleet:
        service = configuration.services['commissions']
        servers = tuple(
            dataclasses.replace(server, version='v2' if server.server_id.endswith('2') else 'v1')
            for server in service.backend_servers
        )
        move = configuration_models.Move(
            move_id='m1',
            kind=configuration_models.MoveKind.VERSION,
            target='v2',
            deadline_unix_s=UNIX_OFFSET_MS / 1000 + 600,
            cap_share=0.25,
            service_id='commissions',
            old_version='v1',
        )
        changed = dataclasses.replace(
            configuration,
            services={'commissions': dataclasses.replace(service, backend_servers=servers)},
            moves={'m1': dataclasses.replace(move, **changes)},
        )
        fleets.append(Fleet(changed, count, seed))
        return fleets[-1]

    monkeypatch.setattr(claims_reducer, 'holds', holds)
    monkeypatch.setattr(membership_reducer, 'live_peers', live_peers)
    monkeypatch.setattr(
        configuration_reducer, 'store_known_down', lambda state, now_ms: fleets[-1].attested
    )
    return make
