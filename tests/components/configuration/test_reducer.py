"""Tests of the rules for revisions and freshness at one instance."""

import dataclasses
import typing
from collections import abc

import hypothesis
import pytest
from hypothesis import strategies

from rhubarbspar.components.configuration import const
from rhubarbspar.components.configuration import document
from rhubarbspar.components.configuration import models
from rhubarbspar.components.configuration import reducer
from rhubarbspar.components.configuration import watcher
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state

Configuration = models.Configuration
State = core_state.State
MakeInstance = abc.Callable[[str], State]
PEER = membership_models.KnownPeer('d', 'almaty-2', '', '')


def _heartbeat(**fields: typing.Any) -> membership_models.Heartbeat:
    values: dict[str, typing.Any] = {
        'sent_ms': 70_000,
        'echo_sent_ms': 1000,
        'echo_age_ms': None,
        'sender': PEER,
        'incarnation': '1',
        'status': membership_models.InstanceStatus.LIVE,
        'revision': 1,
        'confirmed_age_ms': None,
        'attested_age_ms': None,
    }
    return membership_models.Heartbeat(**(values | fields))


def _reads(outputs: list[effects.Effect]) -> list[effects.StoreGet]:
    return [effect for effect in outputs if isinstance(effect, effects.StoreGet)]


def _reasons(outputs: list[effects.Effect]) -> list[str]:
    return [effect.reason for effect in outputs if isinstance(effect, effects.Count)]


def _succeeded(
    tag: str, sent_ms: float, configuration: Configuration, revision: int
) -> events.StoreAnswered:
    record = events.StoreRecord('config', document.render(configuration), revision)
    return events.StoreAnswered(
        tag, events.StoreOutcome.SUCCEEDED, sent_ms, (record,), revision + 10
    )


def _failed(tag: str, sent_ms: float) -> events.StoreAnswered:
    return events.StoreAnswered(tag, events.StoreOutcome.FAILED, sent_ms)


@pytest.fixture
def make_adopted_state(make_instance: MakeInstance, configuration: Configuration) -> MakeInstance:
    """Return a factory of instances that have adopted the configuration without confirmation."""

    def factory(instance_id: str) -> State:
        state = make_instance(instance_id)
        assert reducer.adopt(state, configuration, document.render(configuration))
        return state

    return factory


@pytest.fixture
def state(make_adopted_state: MakeInstance) -> State:
    """Return an instance outside the store's failure domain."""
    return make_adopted_state('c')


@pytest.fixture
def store_domain_state(make_adopted_state: MakeInstance) -> State:
    """Return an instance in the store's failure domain."""
    return make_adopted_state('a')


@hypothesis.settings(
    deadline=None, suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(
    echo_ms=strategies.floats(-1e6, 1e6),
    age_ms=strategies.floats(-1e6, 1e6),
    delay_ms=strategies.floats(0, 1e6),
)
def test_delay_of_a_heartbeat_only_increases_reported_ages(
    make_adopted_state: MakeInstance, echo_ms: float, age_ms: float, delay_ms: float
) -> None:
    """Guards against a late heartbeat that makes stale access keys count as fresh."""
    state = make_adopted_state('c')
    heartbeat = _heartbeat(echo_sent_ms=echo_ms, confirmed_age_ms=age_ms, attested_age_ms=age_ms)
    reducer.apply_heartbeat(state, 'd', heartbeat, echo_ms + delay_ms)
    assert state.configuration.confirmed_ms == echo_ms - max(0, age_ms)
    assert state.configuration.attested_ms == echo_ms - max(0, age_ms)


@pytest.mark.parametrize(
    'fields',
    [
        {'revision': 2},
        {'revision': 0},
        {'echo_sent_ms': None},
        {'echo_sent_ms': 1001},
        {'confirmed_age_ms': None, 'attested_age_ms': None},
    ],
)
def test_heartbeat_without_usable_ages_does_not_confirm(
    state: State, fields: dict[str, typing.Any]
) -> None:
    """Guards against revoked access keys that stay usable by a report about another revision.

    A report without an age, or with an echo from the future, does not count either.
    """
    heartbeat = _heartbeat(**({'confirmed_age_ms': 0, 'attested_age_ms': 0} | fields))
    reducer.apply_heartbeat(state, 'd', heartbeat, 1000)
    assert not reducer.keys_usable(state, 1000)
    assert not reducer.store_known_down(state, 1000)


def test_keys_are_refused_at_once_after_a_pause(state: State, configuration: Configuration) -> None:
    """Guards against revoked access keys that an instance accepts right after a pause.

    Answers and heartbeats that waited during the pause must not make the keys usable.
    """
    state.configuration.confirmed_ms = 1000
    assert reducer.keys_usable(state, 5000)
    assert not reducer.keys_usable(state, 5001)
    (read,) = _reads(reducer.reduce(state, events.Tick(), 1000))
    reducer.reduce(state, _succeeded(read.tag, 1000, configuration, 1), 60_000)
    reducer.apply_heartbeat(state, 'd', _heartbeat(confirmed_age_ms=0), 60_000)
    assert not reducer.keys_usable(state, 60_000)


@hypothesis.settings(
    deadline=None, suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.sampled_from('rowp'), strategies.integers(0, 9)))
)
def test_revision_never_goes_back(
    make_instance: MakeInstance,
    configuration: Configuration,
    deliveries: list[tuple[str, int]],
) -> None:
    """Guards against a source, be it read, watch, offer or push, that sets a lower revision."""
    state = make_instance('c')
    rendered = document.render(configuration)
    highest = 0
    for now_ms, (source, revision) in enumerate(deliveries):
        event: events.Event
        match source:
            case 'r':
                event = _succeeded(f'{const.TAG_READ}1', now_ms, configuration, revision)
            case 'o':
                offer = models.ConfigurationOffer(revision, rendered)
                event = events.MessageReceived('d', offer)
            case 'p':
                event = models.ConfigurationPushed(revision, rendered)
            case _:
                record = events.StoreRecord('config', rendered, revision)
                tag = state.configuration.calls.watch_tag
                event = events.StoreChanged(tag, (record,), revision)
        reducer.reduce(state, event, now_ms)
        if source != 'w':
            highest = max(highest, revision)
        current = state.configuration.current
        assert (current.revision if current else 0) == highest


@pytest.mark.parametrize(
    ('event', 'reason'),
    [
        (
            events.MessageReceived('d', models.ConfigurationOffer(9, b'{}')),
            const.REASON_OFFER_MALFORMED,
        ),
        (models.ConfigurationPushed(9, b'{}'), const.REASON_OFFER_MALFORMED),
        (
            dataclasses.replace(
                _failed(f'{const.TAG_READ}1', 3),
                outcome=events.StoreOutcome.SUCCEEDED,
                records=(events.StoreRecord('config', b'{', 9),),
            ),
            const.REASON_DOCUMENT_MALFORMED,
        ),
    ],
)
def test_malformed_document_does_not_replace_the_current_one(
    state: State, configuration: Configuration, event: events.Event, reason: str
) -> None:
    """Guards against losing the current configuration by a malformed offer, push or record."""
    assert _reasons(reducer.reduce(state, event, 5)) == [reason]
    assert state.configuration.current == configuration
    assert state.configuration.document == document.render(configuration)
    assert not reducer.keys_usable(state, 5)


def _requested_peers(outputs: list[effects.Effect]) -> list[str]:
    return [
        effect.peer_id
        for effect in outputs
        if isinstance(effect, effects.SendMessage)
        and isinstance(effect.message, models.ConfigurationRequest)
    ]


def test_request_is_answered_once_per_interval(state: State, configuration: Configuration) -> None:
    """Guards against a peer that never gets the document, and against sending it too often."""
    state.configuration.confirmed_ms = 400
    rendered = document.render(configuration)
    request = events.MessageReceived('d', models.ConfigurationRequest(70_000, 0))
    for now_ms, expected in ((500, 1), (700, 0), (749, 0), (750, 1)):
        outputs = reducer.reduce(state, request, now_ms)
        offer = models.ConfigurationOffer(1, rendered, 70_000, now_ms - 400)
        assert outputs == [effects.SendMessage('d', offer)] * expected
    for revision in (1, 2):
        request = events.MessageReceived('d', models.ConfigurationRequest(70_000, revision))
        assert not reducer.reduce(state, request, 9000)


def test_heartbeat_of_a_peer_without_a_higher_revision_has_no_effect(state: State) -> None:
    """Guards against documents that are sent to, or requested from, a peer that is not ahead."""
    assert not reducer.apply_heartbeat(state, 'd', _heartbeat(revision=0), 500)
    assert not reducer.apply_heartbeat(state, 'd', _heartbeat(revision=1), 500)


def _apply_higher_revision(state: State, peer_id: str, now_ms: float) -> list[str]:
    """Apply a peer's heartbeat with a higher revision; return the peers asked for the document."""
    known = membership_models.KnownPeer(peer_id, 'almaty-2', '', '')
    state.membership.peers[peer_id] = membership_models.Peer(
        known, connected=True, last_heartbeat_ms=now_ms, revision=9
    )
    heartbeat = _heartbeat(revision=9, sender=known)
    return _requested_peers(reducer.apply_heartbeat(state, peer_id, heartbeat, now_ms))


def test_one_peer_is_asked_and_another_after_a_timeout(state: State) -> None:
    """Guards against requests to every peer, and against waiting for a peer that never answers."""
    assert _apply_higher_revision(state, 'd', 1000) == ['d']
    assert _apply_higher_revision(state, 'e', 1010) == []
    assert _apply_higher_revision(state, 'd', 1200) == []
    assert _apply_higher_revision(state, 'e', 1499) == []
    assert _apply_higher_revision(state, 'd', 1500) == []
    assert _apply_higher_revision(state, 'e', 1510) == ['e']
    assert _apply_higher_revision(state, 'd', 2009) == []
    assert _apply_higher_revision(state, 'd', 2010) == ['d']


def test_only_peer_that_is_ahead_is_asked_again(state: State) -> None:
    """Guards against an instance that waits for another peer with a higher revision in vain."""
    assert _apply_higher_revision(state, 'd', 1000) == ['d']
    assert _apply_higher_revision(state, 'd', 1500) == ['d']


@pytest.mark.parametrize('connected', [True, False])
def test_dead_peer_does_not_keep_others_from_being_asked(state: State, connected: bool) -> None:
    """Guards against a change that is delayed because the peer asked for it has stopped."""
    assert _apply_higher_revision(state, 'd', 1000) == ['d']
    if not connected:
        state.membership.peers['d'].connected = False
        reducer.reduce(state, events.PeerDisconnected('d'), 1010)
        assert _apply_higher_revision(state, 'e', 1020) == ['e']
        return
    assert _apply_higher_revision(state, 'e', 1600) == ['e']
    state.membership.peers['d'].connected = False
    assert _apply_higher_revision(state, 'e', 2200) == ['e']
    # An hour later the stopped peer must not delay a request either.
    assert _apply_higher_revision(state, 'e', 3_600_000) == ['e']


def test_next_revision_is_asked_for_at_once(state: State, configuration: Configuration) -> None:
    """Guards against a revocation that is delayed by the timeout of an answered request."""
    assert _apply_higher_revision(state, 'd', 1000) == ['d']
    offer = models.ConfigurationOffer(8, document.render(configuration))
    reducer.reduce(state, events.MessageReceived('d', offer), 1040)
    assert _apply_higher_revision(state, 'e', 1050) == ['e']


def test_malformed_document_is_asked_of_another_peer(state: State) -> None:
    """Guards against a request after every heartbeat of a peer with a malformed document."""
    assert _apply_higher_revision(state, 'd', 1000) == ['d']
    offer = models.ConfigurationOffer(9, b'{}')
    reducer.reduce(state, events.MessageReceived('d', offer), 1040)
    assert _apply_higher_revision(state, 'd', 1200) == []
    assert _apply_higher_revision(state, 'd', 1500) == ['d']
    assert _apply_higher_revision(state, 'e', 2000) == ['e']


def test_one_instance_per_failure_domain_watches(make_instance: MakeInstance) -> None:
    """Guards against store load that grows with the fleet, and against a domain without watcher."""
    watchers = []
    for instance_id in 'abcd':
        state = make_instance(instance_id)
        for known in state.membership.seed_peers:
            peer = membership_models.Peer(known, last_heartbeat_ms=0)
            state.membership.peers[known.instance_id] = peer
        if reducer.is_watcher(state, 100):
            watchers.append(state.membership.own.failure_domain)
    assert sorted(watchers) == ['almaty-1', 'almaty-2', 'astana-1']


def test_failed_watch_falls_back_to_reads_and_is_renewed(
    make_instance: MakeInstance, configuration: Configuration
) -> None:
    """Guards against changes that are missed after the watch has failed."""
    state = make_instance('c')
    (read,) = _reads(reducer.reduce(state, events.Tick(), 0))
    outputs = reducer.reduce(state, _succeeded(read.tag, 0, configuration, 1), 10)
    (watch,) = [effect for effect in outputs if isinstance(effect, effects.StoreWatch)]
    assert (watch.key, watch.start_revision) == ('config', 12)
    assert not reducer.reduce(state, events.Tick(), 950)
    reducer.reduce(state, _failed(watch.tag, 10), 960)
    (read,) = _reads(reducer.reduce(state, events.Tick(), 1000))
    outputs = reducer.reduce(state, _succeeded(read.tag, 1000, configuration, 2), 1010)
    assert [effect for effect in outputs if isinstance(effect, effects.StoreWatch)]
    assert state.configuration.current == dataclasses.replace(configuration, revision=2)


@pytest.mark.parametrize('read_fails', [False, True])
def test_watched_change_is_adopted_within_a_second(
    make_instance: MakeInstance, configuration: Configuration, read_fails: bool
) -> None:
    """Guards against a revocation that is delayed because the store does not answer reads."""
    state = make_instance('c')
    reducer.reduce(state, _succeeded(f'{const.TAG_READ}0', 0, configuration, 1), 0)
    record = events.StoreRecord('config', document.render(configuration), 2)
    changed = events.StoreChanged(state.configuration.calls.watch_tag, (record,), 2)
    (read,) = _reads(reducer.reduce(state, changed, 100))
    if read_fails:
        reducer.reduce(state, _failed(read.tag, 100), 200)
    else:
        reducer.reduce(state, events.Tick(), 1100)
    assert state.configuration.current == dataclasses.replace(configuration, revision=2)
    assert not reducer.keys_usable(state, 1100)


def test_rolled_back_store_is_counted_and_does_not_confirm(
    make_instance: MakeInstance, configuration: Configuration
) -> None:
    """Guards against a restored old backup that is not reported or confirms a lost revision."""
    state = make_instance('c')
    reducer.reduce(state, _succeeded(f'{const.TAG_READ}1', 0, configuration, 5), 10)
    late = reducer.reduce(state, _succeeded(f'{const.TAG_READ}2', 5, configuration, 4), 20)
    assert not _reasons(late)
    outputs = reducer.reduce(state, _succeeded(f'{const.TAG_READ}3', 30, configuration, 3), 40)
    assert _reasons(outputs) == [const.REASON_ROLLED_BACK]
    assert any(isinstance(effect, effects.Log) for effect in outputs)
    assert state.configuration.confirmed_ms == 0


def test_same_revision_with_another_document_does_not_confirm(
    state: State, configuration: Configuration
) -> None:
    """Guards against a rolled-back store that reaches the same revision with other contents."""
    other = dataclasses.replace(configuration, deployment='other')
    outputs = reducer.reduce(state, _succeeded(f'{const.TAG_READ}1', 0, other, 1), 10)
    assert _reasons(outputs) == [const.REASON_DIFFERS]
    assert not reducer.keys_usable(state, 10)


def _fail_reads(state: State, start_ms: int, end_ms: int) -> None:
    for now_ms in range(start_ms, end_ms, 50):
        for read in _reads(reducer.reduce(state, events.Tick(), now_ms)):
            reducer.reduce(state, _failed(read.tag, now_ms), now_ms)


def test_instance_in_the_store_domain_attests_an_outage(store_domain_state: State) -> None:
    """Guards against refusals of valid access keys while the store is down."""
    _fail_reads(store_domain_state, 0, 950)
    assert not reducer.store_known_down(store_domain_state, 950)
    (read,) = _reads(reducer.reduce(store_domain_state, events.Tick(), 1000))
    reducer.reduce(store_domain_state, _failed(read.tag, 1000), 1400)
    assert reducer.store_known_down(store_domain_state, 1400)
    assert reducer.keys_usable(store_domain_state, 5000)
    assert not reducer.keys_usable(store_domain_state, 5001)


@pytest.mark.parametrize(('instance_id', 'reads'), [('a', True), ('b', True), ('c', False)])
def test_only_instances_in_the_store_domain_read_besides_the_watcher(
    make_adopted_state: MakeInstance, monkeypatch: pytest.MonkeyPatch, instance_id: str, reads: bool
) -> None:
    """Guards against an outage that is not noticed because the watcher stopped.

    Also guards against store calls by instances that can't attest an outage.
    """
    monkeypatch.setattr(watcher, 'is_watcher', lambda *_: False)
    state = make_adopted_state(instance_id)
    state.configuration.store_reached_ms = 0
    assert not _reads(reducer.reduce(state, events.Tick(), const.PROBE_AFTER_MS - 1))
    assert bool(_reads(reducer.reduce(state, events.Tick(), const.PROBE_AFTER_MS))) == reads


def test_instance_outside_the_store_domain_attests_no_outage(state: State) -> None:
    """Guards against a partitioned failure domain that takes its partition for an outage."""
    _fail_reads(state, 0, 10_000)
    assert not reducer.keys_usable(state, 10_000)


@pytest.mark.parametrize('revision', [1, 2])
def test_no_outage_is_attested_while_a_peer_reaches_the_store(
    store_domain_state: State, revision: int
) -> None:
    """Guards against revoked access keys that stay usable because one instance's reads fail."""
    for start_ms in range(0, 10_000, 500):
        heartbeat = _heartbeat(echo_sent_ms=start_ms, store_reached_age_ms=1200, revision=revision)
        reducer.apply_heartbeat(store_domain_state, 'd', heartbeat, start_ms)
        _fail_reads(store_domain_state, start_ms, start_ms + 500)
    assert not reducer.store_known_down(store_domain_state, 10_000)
    assert not reducer.keys_usable(store_domain_state, 10_000)


def test_calls_that_failed_during_a_pause_attest_nothing(store_domain_state: State) -> None:
    """Guards against an instance that takes its own pause for an outage of the store."""
    tags = [
        read.tag
        for now_ms in (0, 400, 800, 1200)
        for read in _reads(reducer.reduce(store_domain_state, events.Tick(), now_ms))
    ]
    assert len(tags) == 2
    for tag in tags:
        reducer.reduce(store_domain_state, _failed(tag, 1000), 4000)
    assert not reducer.store_known_down(store_domain_state, 4000)


def test_push_is_adopted_at_once_and_keeps_keys_usable(
    state: State, configuration: Configuration
) -> None:
    """Guards against refusals of valid access keys after an operator's push."""
    state.configuration.confirmed_ms = 100
    rendered = document.render(configuration)
    reducer.reduce(state, models.ConfigurationPushed(7, rendered), 200)
    assert state.configuration.current == dataclasses.replace(configuration, revision=7)
    assert reducer.keys_usable(state, 4100)
    assert not reducer.keys_usable(state, 4101)
