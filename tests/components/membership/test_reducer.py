"""Tests of peer discovery, connections, heartbeats and liveness."""

import dataclasses
import itertools
from collections import abc

import hypothesis
import pytest
from hypothesis import strategies

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.membership import models
from rhubarbspar.components.membership import reducer
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import reducer as core_reducer
from rhubarbspar.core import state as core_state

MakeHeartbeat = abc.Callable[..., models.Heartbeat]
State = core_state.State
Listed = events.InstancesListed
TICK_MS = 50


def _run(state: State, start_ms: float, end_ms: float) -> list[tuple[float, effects.Effect]]:
    """Apply ticks from start to end and return the effects with their times."""
    return [
        (now_ms, effect)
        for now_ms in range(int(start_ms), int(end_ms), TICK_MS)
        for effect in core_reducer.reduce(state, events.Tick(), now_ms)
    ]


def _times(outputs: list[tuple[float, effects.Effect]], kind: type) -> list[float]:
    return [now_ms for now_ms, effect in outputs if isinstance(effect, kind)]


def _connect(
    state: State, peer_id: str, now_ms: float, incarnation: str = '1'
) -> list[effects.Effect]:
    return core_reducer.reduce(state, events.PeerConnected(peer_id, incarnation), now_ms)


def _receive(state: State, heartbeat: models.Heartbeat, now_ms: float) -> list[effects.Effect]:
    peer_id = heartbeat.sender.instance_id
    return core_reducer.reduce(state, events.MessageReceived(peer_id, heartbeat), now_ms)


def test_only_peers_with_a_higher_id_are_dialled(state: State, listed: Listed) -> None:
    """Guards against two connections between the same two instances, and against none."""
    core_reducer.reduce(state, listed, 0)
    dialled = [effect for _, effect in _run(state, 0, 50) if isinstance(effect, effects.DialPeer)]
    assert dialled == [effects.DialPeer('c', '127.0.0.1:1')]


def test_seed_peers_are_dialled_without_a_list(state: State, listed: Listed) -> None:
    """Guards against a fleet that cannot start while the instance list is missing."""
    state.membership.seed_peers = (models.KnownPeer('c', 'c-domain', '127.0.0.1:9', ''),)
    assert _times(_run(state, 0, 50), effects.DialPeer) == [0]
    _run(state, 50, 20_000)
    assert 'c' in state.membership.peers


def test_peers_of_peers_are_added(state: State, make_heartbeat: MakeHeartbeat) -> None:
    """Guards against an instance that stays unknown because the instance list lags."""
    known = models.KnownPeer('d', 'd-domain', '127.0.0.1:4', '')
    _receive(state, make_heartbeat('a', 1, known_peers=(known, state.membership.own)), 0)
    assert set(state.membership.peers) == {'a', 'd'}


def test_redials_back_off_with_jitter(state: State, listed: Listed) -> None:
    """Guards against redials that are too frequent, synchronized between instances, or stop."""
    core_reducer.reduce(state, listed, 0)
    times = _times(_run(state, 0, 60_000), effects.DialPeer)
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert gaps[0] <= 300
    assert max(gaps) <= 2050
    assert min(gaps[5:]) >= 1000
    assert len(set(gaps[5:])) > 3
    assert times[-1] > 57_000


def test_heartbeats_are_sent_every_interval(state: State) -> None:
    """Guards against heartbeats that are late, or sent without a connection."""
    state.membership.peers['a'] = models.Peer(models.KnownPeer('a', '', '', ''))
    assert not _times(_run(state, 0, 1000), effects.SendMessage)
    first = _connect(state, 'a', 1000)
    assert [type(effect) for effect in first] == [effects.SendMessage]
    times = _times(_run(state, 1000, 1950), effects.SendMessage)
    assert [later - earlier for earlier, later in itertools.pairwise(times)] == [200] * 4


@pytest.mark.parametrize('peer_id', ['a', 'c'])
def test_silent_peer_is_disconnected_and_then_not_live(
    state: State, make_heartbeat: MakeHeartbeat, peer_id: str
) -> None:
    """Guards against a connection that is open but no longer carries messages."""
    _connect(state, peer_id, 0)
    _receive(state, make_heartbeat(peer_id, 1), 100)
    outputs = _run(state, 100, 3000)
    assert _times(outputs, effects.ClosePeer)[0] == 1100
    dials = _times(outputs, effects.DialPeer)
    assert dials[:1] == ([1100] if peer_id == 'c' else [])
    assert reducer.is_live(state, peer_id, 1599)
    assert not reducer.is_live(state, peer_id, 1600)


@pytest.mark.parametrize('faults', list(itertools.product('.dxrp', repeat=3)))
def test_silent_peer_is_redialled_after_any_faults(
    state: State, make_heartbeat: MakeHeartbeat, faults: tuple[str, ...]
) -> None:
    """Guards against a peer that is never dialled again after some sequence of faults.

    The steps of a sequence: ``.`` delivers a heartbeat, ``d`` delivers it twice, ``x`` loses the
    connection, ``r`` delivers an older heartbeat, and ``p`` pauses this instance.
    """
    state.membership.seed_peers = (make_heartbeat('c', 0).sender,)
    _run(state, 0, 50)
    _connect(state, 'c', 50)
    now_ms = 50
    for number, fault in enumerate(faults):
        now_ms += 200
        heartbeat = make_heartbeat('c', 1000 - number if fault == 'r' else 2000 + number)
        match fault:
            case 'x':
                core_reducer.reduce(state, events.PeerDisconnected('c'), now_ms)
            case 'p':
                now_ms += 20_000
            case _:
                for _ in range(2 if fault == 'd' else 1):
                    _receive(state, heartbeat, now_ms)
        _run(state, now_ms, now_ms + 100)
    dials = _times(_run(state, now_ms + 100, now_ms + 3200), effects.DialPeer)
    assert dials


def test_unlisted_and_silent_peer_is_removed(
    state: State, listed: Listed, make_heartbeat: MakeHeartbeat
) -> None:
    """Guards against peers that accumulate as instances are replaced."""
    core_reducer.reduce(state, listed, 0)
    _receive(state, make_heartbeat('a', 1), 0)
    core_reducer.reduce(state, events.InstancesListed(listed.instances[2:]), 0)
    _run(state, 0, 10_000)
    assert set(state.membership.peers) == {'a', 'c'}
    _run(state, 10_000, 10_050)
    assert set(state.membership.peers) == {'c'}


def test_pause_of_this_instance_removes_no_peer(
    state: State, make_heartbeat: MakeHeartbeat
) -> None:
    """Guards against an instance without peers after its own pause, in which all seemed silent."""
    _run(state, 0, 50)
    _connect(state, 'c', 50)
    _receive(state, make_heartbeat('c', 1), 50)
    outputs = _run(state, 60_000, 60_050)
    assert _times(outputs, effects.DialPeer) == [60_000]
    assert not reducer.live_peers(state, 60_000)


@pytest.mark.parametrize('order', list(itertools.permutations(range(4))))
def test_newest_heartbeat_wins_in_any_order(
    state: State, make_heartbeat: MakeHeartbeat, order: tuple[int, ...]
) -> None:
    """Guards against an older report that replaces a newer one after reordering."""
    _connect(state, 'a', 0)
    newest = -1
    for now_ms, number in enumerate((*order, *order)):
        _receive(state, make_heartbeat('a', number, revision=number), now_ms)
        newest = max(newest, number)
        assert state.membership.peers['a'].revision == newest


def test_past_incarnation_is_refused(state: State, make_heartbeat: MakeHeartbeat) -> None:
    """Guards against late heartbeats of a replaced incarnation that overwrite its successor's."""
    server = models.OwnedServer('s', 1, 0)
    _connect(state, 'a', 0, 'old')
    _receive(state, make_heartbeat('a', 9, 'old', owned_servers=(server,)), 0)
    assert reducer.owner_of(state, 's', 0) == 'a'
    _connect(state, 'a', 1, 'new')
    assert reducer.owner_of(state, 's', 1) is None
    _receive(state, make_heartbeat('a', 1, 'new', revision=7), 2)
    _receive(state, make_heartbeat('a', 99, 'old', owned_servers=(server,)), 3)
    assert effects.ClosePeer('a') in _connect(state, 'a', 4, 'old')
    peer = state.membership.peers['a']
    assert (peer.revision, peer.incarnation, peer.owned_servers) == (7, 'new', {})


def test_heartbeat_with_another_sender_is_refused(
    state: State, make_heartbeat: MakeHeartbeat
) -> None:
    """Guards against a report that is recorded for the wrong peer, or for this instance itself."""
    heartbeat = make_heartbeat('c', 1)
    reducer.receive_heartbeat(state, 'a', heartbeat, 0)
    reducer.receive_heartbeat(state, 'b', make_heartbeat('b', 1), 0)
    assert not state.membership.peers


@hypothesis.settings(deadline=None)
@hypothesis.given(
    travel_ms=strategies.integers(0, 500),
    wait_ms=strategies.integers(0, 500),
)
def test_round_trip_excludes_the_wait_at_the_peer(travel_ms: int, wait_ms: int) -> None:
    """Guards against a round-trip time that includes the heartbeat interval."""
    known = models.KnownPeer('a', 'a-domain', '', '')
    state = core_state.State(models.MembershipState(models.KnownPeer('b', 'b-domain', '', ''), '1'))
    heartbeat = models.Heartbeat(1, 0, wait_ms, '1', 0, sender=known)
    _receive(state, heartbeat, travel_ms + wait_ms)
    assert state.membership.peers['a'].round_trip_ms == travel_ms


def test_heartbeat_carries_the_echo_and_ages(state: State, make_heartbeat: MakeHeartbeat) -> None:
    """Guards against peers that cannot tell the age of what this instance reports."""
    _connect(state, 'a', 0)
    _receive(state, make_heartbeat('a', 77), 10)
    state.configuration.confirmed_ms = 4
    (effect,) = core_reducer.reduce(state, models.HeartbeatDue('a'), 2060)
    assert isinstance(effect, effects.SendMessage)
    message = effect.message
    assert isinstance(message, models.Heartbeat)
    assert (message.sent_ms, message.echo_sent_ms, message.echo_age_ms) == (2060, 77, 2050)
    assert (message.confirmed_age_ms, message.attested_age_ms) == (2056, None)


def test_leaving_instances_are_live_but_get_no_new_work(
    state: State, make_heartbeat: MakeHeartbeat
) -> None:
    """Guards against new work for an instance that is stopping."""
    leaving = models.InstanceStatus.LEAVING
    _receive(state, make_heartbeat('a', 1, status=leaving), 0)
    _receive(state, make_heartbeat('c', 1), 0)
    assert [peer.known.instance_id for peer in reducer.live_peers(state, 0)] == ['a', 'c']
    assert reducer.live_instance_ids(state, 0) == ['b', 'c']
    state.membership.status = leaving
    assert reducer.live_instance_ids(state, 0) == ['c']
    assert reducer.live_instance_ids(state, 1500) == ['b']


def test_unlisted_time_grows_with_readings_only(state: State, listed: Listed) -> None:
    """Guards against an instance that counts as gone because the list cannot be read."""
    core_reducer.reduce(state, listed, 0)
    assert reducer.unlisted_ms(state, 'a') == 0
    listed_without_a = events.InstancesListed(listed.instances[1:])
    for now_ms, expected_ms in ((1000, 0), (6000, 5000), (90_000, 90_000)):
        core_reducer.reduce(state, listed_without_a, now_ms)
        assert reducer.unlisted_ms(state, 'a') == expected_ms
    core_reducer.reduce(state, listed, 91_000)
    assert reducer.unlisted_ms(state, 'a') == 0


def test_region_comes_from_the_configuration(
    state: State,
    configuration: configuration_models.Configuration,
    make_heartbeat: MakeHeartbeat,
) -> None:
    """Guards against an instance that is assigned to the wrong region."""
    assert reducer.region_of(state, 'b') is None
    state.configuration.current = configuration
    sender = dataclasses.replace(state.membership.own, instance_id='a', failure_domain='astana-1')
    _receive(state, make_heartbeat('a', 1, sender=sender), 0)
    assert reducer.region_of(state, 'a') == 'astana'
    assert reducer.region_of(state, 'unknown') is None
