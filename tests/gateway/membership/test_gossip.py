"""Heartbeats between instances, store changes and their relay to peers."""

from rhubarbspar import exceptions
from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from tests.gateway import conftest

PEER = models.Member('front-2', 'b', 'almaty-b', 'almaty', '10.0.0.2:80', '10.0.0.2:81')


def heartbeat(**fields):
    """Return a heartbeat of the peer; ``fields`` replace the defaults."""
    heartbeat_fields = {'store_revision': 0, 'store_reachable': True, 'leaving': False, **fields}
    return messages.Heartbeat('b', **heartbeat_fields)


def receive(gateway, message):
    """Receive a heartbeat from the peer."""
    return gateway.reduce(core_events.MessageReceived('front-2', message))


def test_peer_without_the_store_gets_missing_changes(gateway):
    """Guards against an instance cut off from the store that still accepts a revoked access key."""
    gateway.declare('members/front-2', PEER)
    assert not [
        out for out in receive(gateway, heartbeat()) if isinstance(out, core_effects.SendMessage)
    ]
    cut_off = heartbeat(store_reachable=False, store_revision=gateway.revision - 2)
    sent = conftest.single_effect(receive(gateway, cut_off), core_effects.SendMessage).message
    assert sent.revision == gateway.revision
    assert [record.revision for record in sent.records] == [gateway.revision - 1, gateway.revision]


def test_relayed_changes_take_effect_once(gateway):
    """Guards against relayed changes that are ignored, or that undo newer changes when repeated."""
    evacuation = models.Evacuation('almaty-b')
    gateway.records[b'relayed'] = evacuation
    record = messages.RelayedRecord('evacuate/almaty-b', gateway.revision + 1, b'relayed')
    relayed = messages.StoreNews(gateway.revision, gateway.revision + 1, (record,))
    gateway.reduce(core_events.MessageReceived('front-2', relayed))
    assert gateway.state.declared.evacuated_domains == {'almaty-b'}
    gateway.revision += 1
    gateway.declare('evacuate/almaty-b', None)
    gateway.reduce(core_events.MessageReceived('front-2', relayed))
    assert not gateway.state.declared.evacuated_domains


def test_older_configuration_is_ignored(gateway):
    """Guards against a fallback to an older configuration version."""
    gateway.configure(conftest.READS, version=5)
    gateway.configure(conftest.ORDERS, version=4)
    assert gateway.state.declared.configuration.version == 5


def test_unreadable_record_leaves_the_last_one_in_force(gateway):
    """Guards against a damaged record that removes the configuration in force."""

    def fail(_key, _content, _revision):
        raise exceptions.RhubarbsparError('damaged')

    gateway.state.decode = fail
    outputs = gateway.declare('config', conftest.ACCOUNT)
    assert conftest.single_effect(outputs, core_effects.Log).name == 'record_unreadable'
    assert gateway.state.declared.configuration.version == 1


def test_snapshot_removes_missing_records(gateway):
    """Guards against requests to servers whose deletion was compacted before it was watched."""
    gateway.reduce(events.StoreSnapshot((), gateway.revision + 5))
    assert not gateway.state.servers.views


def test_long_pause_of_the_process_refreshes_the_store(gateway):
    """Guards against outdated records after the process or machine was suspended."""
    outputs = gateway.reduce(events.ClockTicked(paused_ms=3000))
    assert conftest.single_effect(outputs, effects.RefreshStore)
    assert not [
        out
        for out in gateway.reduce(events.ClockTicked(paused_ms=60))
        if isinstance(out, effects.RefreshStore)
    ]


def test_lower_id_dials_and_closes_silent_connections(gateway):
    """Guards against connections that are silent but never replaced."""
    gateway.declare('members/front-2', PEER)
    dialled = [out for out in gateway.advance(100) if isinstance(out, core_effects.DialPeer)]
    assert [dial.peer_id for dial in dialled] == ['front-2']
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    receive(gateway, heartbeat())
    outputs = gateway.advance(4000)
    assert [out.peer_id for out in outputs if isinstance(out, core_effects.ClosePeer)] == [
        'front-2'
    ]
    assert [out for out in outputs if isinstance(out, core_effects.DialPeer)]


def test_only_one_instance_records_progress(gateway):
    """Guards against instances that overwrite each other's rollout status.

    This instance writes once the peer with the lower id is no longer live.
    """
    peer = conftest.dataclasses.replace(PEER, instance_id='front-0', region='astana')
    gateway.declare('members/front-0', peer)
    gateway.add_server('new', version='v2')
    gateway.declare('rollout/stock', models.RolloutRequest('stock', 'v2', 14_000, 0))
    beat = heartbeat()
    gateway.reduce(core_events.MessageReceived('front-0', beat))
    assert not [out for out in gateway.advance(500) if isinstance(out, effects.WriteStatus)]
    assert [out for out in gateway.advance(3000) if isinstance(out, effects.WriteStatus)]


def following_changes(outputs):
    """Return whether each ``FollowStore`` effect starts or stops the watch."""
    return [out.enabled for out in outputs if isinstance(out, effects.FollowStore)]


def test_one_instance_of_a_region_follows_the_store(gateway):
    """Guards against load on the store that grows with the fleet."""
    near = conftest.dataclasses.replace(PEER, instance_id='front-0')
    far = conftest.dataclasses.replace(PEER, instance_id='front-3', region='astana')
    for member in (near, far):
        gateway.declare(f'members/{member.instance_id}', member)
    assert following_changes(gateway.advance(200)) == []
    gateway.reduce(core_events.MessageReceived('front-0', heartbeat()))
    assert following_changes(gateway.advance(200)) == [False]
    assert following_changes(gateway.advance(2000)) == [True]


def test_instance_takes_over_when_the_follower_loses_the_store(gateway):
    """Guards against a region without store changes while only its follower is cut off."""
    far = conftest.dataclasses.replace(PEER, instance_id='front-3', region='astana')
    gateway.declare('members/front-0', conftest.dataclasses.replace(PEER, instance_id='front-0'))
    gateway.declare('members/front-3', far)
    gateway.reduce(core_events.MessageReceived('front-0', heartbeat()))
    gateway.advance(100)
    gateway.reduce(core_events.MessageReceived('front-0', heartbeat(store_reachable=False)))
    assert following_changes(gateway.advance(100)) == [True]


def test_follower_relays_changes_at_once(gateway):
    """Guards against a change that reaches the region only with the next heartbeat."""
    gateway.declare('members/front-2', PEER)
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    receive(gateway, heartbeat(store_reachable=False, store_revision=gateway.revision))
    outputs = gateway.declare('evacuate/almaty-b', models.Evacuation('almaty-b'))
    sent = conftest.single_effect(outputs, core_effects.SendMessage).message
    assert (sent.base_revision, sent.revision) == (gateway.revision - 1, gateway.revision)
    assert [record.key for record in sent.records] == ['evacuate/almaty-b']


def test_grace_period_also_starts_where_peers_follow_the_store(gateway):
    """Guards against servers dropped after an outage if an instance does not watch the store."""
    near = conftest.dataclasses.replace(PEER, instance_id='front-0')
    far = conftest.dataclasses.replace(PEER, instance_id='front-3', region='astana')
    for member in (near, far):
        gateway.declare(f'members/{member.instance_id}', member)
    gateway.reduce(core_events.MessageReceived('front-0', heartbeat()))
    gateway.advance(100)
    gateway.reduce(events.StoreLost('timeout'))
    gateway.reduce(core_events.MessageReceived('front-0', heartbeat()))
    assert gateway.state.replica.registration_grace_until_ms > gateway.now_ms


def lose_and_regain(gateway, peer_reaches_for_ms):
    """Lose the store, let a peer reach it for a time, then delete a server's registration."""
    near = conftest.dataclasses.replace(PEER, instance_id='front-0')
    gateway.declare('members/front-0', near)
    gateway.reduce(events.StoreLost('timeout'))
    for _ in range(int(peer_reaches_for_ms / 500)):
        gateway.reduce(core_events.MessageReceived('front-0', heartbeat()))
        gateway.advance(500)
    gateway.state.servers.views['stock-1'].last_answer_ms = gateway.now_ms
    gateway.declare('servers/stock-1', None)


def test_server_deleted_while_only_this_instance_was_cut_off_is_removed_at_once(gateway):
    """Guards against requests to a server that was deregistered on purpose.

    Only servers whose registration expired in a store outage keep a grace period.
    """
    lose_and_regain(gateway, 4000)
    assert 'stock-1' not in gateway.state.servers.views


def test_server_deleted_after_a_store_outage_is_used_for_the_grace_period(gateway):
    """Guards against a service without servers because its registrations lapsed in an outage."""
    lose_and_regain(gateway, 500)
    assert 'stock-1' in gateway.state.servers.views
    gateway.advance(2500)
    assert 'stock-1' not in gateway.state.servers.views


def test_changes_on_their_way_are_not_sent_again(gateway):
    """Guards against a thin link that repeated changes fill up, so that none arrives in time."""
    gateway.declare('members/front-2', PEER)
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    behind = heartbeat(store_reachable=False, store_revision=gateway.revision - 2)
    assert conftest.single_effect(receive(gateway, behind), core_effects.SendMessage)
    gateway.now_ms += 500
    assert not receive(gateway, behind)
    gateway.now_ms += const.CHANGES_RESENT_MS
    sent = [out for out in receive(gateway, behind) if isinstance(out, core_effects.SendMessage)]
    assert [len(out.message.records) for out in sent] == [2]


def test_peer_that_rejects_changes_gets_all_of_them_while_new_ones_come(gateway):
    """Guards against a peer that stays behind for ever because the store changes all the time."""
    gateway.declare('members/front-2', PEER)
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    known_revision = gateway.revision - 2
    behind = heartbeat(store_reachable=False, store_revision=known_revision)
    assert receive(gateway, behind)
    outputs = []
    for number in range(6):
        gateway.now_ms += 300
        gateway.declare(f'evacuate/{number}', models.Evacuation(str(number)))
        outputs.extend(receive(gateway, behind))
    sent = [out.message for out in outputs if isinstance(out, core_effects.SendMessage)]
    assert known_revision in {message.base_revision for message in sent}


def test_log_of_a_failed_attempt_says_whether_peers_hear_the_server(gateway):
    """Guards against logs in which a lost link looks like a crashed server."""
    gateway.declare('members/front-2', PEER)
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    gateway.now_ms += 200
    loads = (messages.ServerLoad(started.server.server_id, 1, 50),)
    receive(gateway, heartbeat(loads=loads))
    failed = conftest.ended(started, events.AttemptResult.UNREACHABLE)
    (log,) = [out for out in gateway.reduce(failed) if getattr(out, 'name', '') == 'attempt_failed']
    assert dict(log.fields)['heard_ms_ago'] is None
    assert dict(log.fields)['peers_heard_ms_ago'] == 50


def test_peers_learn_that_a_server_without_load_reports_answers(gateway):
    """Guards against links that are never found lost because servers report no load."""
    gateway.declare('members/front-2', PEER)
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    receive(gateway, heartbeat())
    started = conftest.single_effect(gateway.request(), effects.StartAttempt)
    server_id = started.server.server_id
    gateway.reduce(conftest.ended(started, events.AttemptResult.ANSWERED, status=200))
    sent = [out for out in gateway.advance(600) if isinstance(out, core_effects.Multicast)]
    assert server_id in {load.server_id for out in sent for load in out.message.loads}
    gateway.now_ms += 5000
    receive(gateway, heartbeat(loads=(messages.ServerLoad('stock-2', None, 100),)))
    view = gateway.state.servers.views['stock-2']
    assert view.answered_elsewhere_ms == gateway.now_ms - 100
