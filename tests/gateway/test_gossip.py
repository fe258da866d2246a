"""What the instances and the store tell each other."""

from rhubarbspar import exceptions
from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from tests.gateway import conftest

PEER = models.Member('front-2', 'b', 'almaty-b', 'almaty', '10.0.0.2:80', '10.0.0.2:81')


def heartbeat(**fields):
    """Return a heartbeat of the peer."""
    members = {'store_revision': 0, 'store_reachable': True, 'leaving': False, **fields}
    return messages.Heartbeat('b', **members)


def hear(gateway, beat):
    """Let the peer be heard."""
    return gateway.reduce(core_events.MessageReceived('front-2', beat))


def test_peer_without_the_store_gets_its_changes(gateway):
    """Guards against a withdrawn key that works at an instance which the store turns away."""
    gateway.declare('members/front-2', PEER)
    assert not [
        out for out in hear(gateway, heartbeat()) if isinstance(out, core_effects.SendMessage)
    ]
    cut = heartbeat(store_reachable=False, store_revision=gateway.revision - 2)
    sent = conftest.only(hear(gateway, cut), core_effects.SendMessage).message
    assert sent.revision == gateway.revision
    assert [record.revision for record in sent.records] == [gateway.revision - 1, gateway.revision]


def test_relayed_changes_take_effect_once(gateway):
    """Guards against relayed changes that are ignored, or that undo newer ones."""
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


def test_older_configuration_is_never_taken(gateway):
    """Guards against a configuration that goes back."""
    gateway.configure(conftest.READS, version=5)
    gateway.configure(conftest.ORDERS, version=4)
    assert gateway.state.declared.configuration.version == 5


def test_unreadable_record_leaves_the_last_one_in_force(gateway):
    """Guards against a damaged record that takes the configuration away."""

    def fail(_key, _content, _revision):
        raise exceptions.RhubarbsparError('damaged')

    gateway.state.decode = fail
    outputs = gateway.declare('config', conftest.ACCOUNT)
    assert conftest.only(outputs, core_effects.Log).name == 'record_unreadable'
    assert gateway.state.declared.configuration.version == 1


def test_snapshot_removes_what_is_missing(gateway):
    """Guards against servers that were removed while the history was lost."""
    gateway.reduce(events.StoreSnapshot((), gateway.revision + 5))
    assert not gateway.state.servers.views


def test_pause_of_the_process_asks_the_store_again(gateway):
    """Guards against old beliefs after the machine stood still."""
    outputs = gateway.reduce(events.ClockTicked(paused_ms=3000))
    assert conftest.only(outputs, effects.RefreshStore)
    assert not [
        out
        for out in gateway.reduce(events.ClockTicked(paused_ms=60))
        if isinstance(out, effects.RefreshStore)
    ]


def test_lower_id_dials_and_silence_hangs_up(gateway):
    """Guards against connections that have gone silent and are never replaced."""
    gateway.declare('members/front-2', PEER)
    dialled = [out for out in gateway.advance(100) if isinstance(out, core_effects.DialPeer)]
    assert [dial.peer_id for dial in dialled] == ['front-2']
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    hear(gateway, heartbeat())
    later = gateway.advance(4000)
    assert [out.peer_id for out in later if isinstance(out, core_effects.ClosePeer)] == ['front-2']
    assert [out for out in later if isinstance(out, core_effects.DialPeer)]


def test_only_one_instance_records_progress(gateway):
    """Guards against instances that overwrite each other's status."""
    rival = conftest.dataclasses.replace(PEER, instance_id='front-0', region='astana')
    gateway.declare('members/front-0', rival)
    gateway.add_server('new', version='v2')
    gateway.declare('rollout/stock', models.RolloutOrder('stock', 'v2', 14_000, 0))
    beat = heartbeat()
    gateway.reduce(core_events.MessageReceived('front-0', beat))
    assert not [out for out in gateway.advance(500) if isinstance(out, effects.WriteStatus)]
    assert [out for out in gateway.advance(3000) if isinstance(out, effects.WriteStatus)]


def follow(outputs):
    """Return what is said about following the store."""
    return [out.enabled for out in outputs if isinstance(out, effects.FollowStore)]


def test_one_instance_of_a_region_follows_the_store(gateway):
    """Guards against calls to the store that grow with the fleet."""
    near = conftest.dataclasses.replace(PEER, instance_id='front-0')
    far = conftest.dataclasses.replace(PEER, instance_id='front-3', region='astana')
    for member in (near, far):
        gateway.declare(f'members/{member.instance_id}', member)
    assert follow(gateway.advance(200)) == []
    gateway.reduce(core_events.MessageReceived('front-0', heartbeat()))
    assert follow(gateway.advance(200)) == [False]
    assert follow(gateway.advance(2000)) == [True]


def test_instance_takes_over_when_the_follower_loses_the_store(gateway):
    """Guards against a region without news while only its follower is turned away."""
    far = conftest.dataclasses.replace(PEER, instance_id='front-3', region='astana')
    gateway.declare('members/front-0', conftest.dataclasses.replace(PEER, instance_id='front-0'))
    gateway.declare('members/front-3', far)
    gateway.reduce(core_events.MessageReceived('front-0', heartbeat()))
    gateway.advance(100)
    gateway.reduce(core_events.MessageReceived('front-0', heartbeat(store_reachable=False)))
    assert follow(gateway.advance(100)) == [True]


def test_follower_passes_changes_on_at_once(gateway):
    """Guards against a change that waits for the next heartbeat."""
    gateway.declare('members/front-2', PEER)
    gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    hear(gateway, heartbeat(store_reachable=False, store_revision=gateway.revision))
    outputs = gateway.declare('evacuate/almaty-b', models.Evacuation('almaty-b'))
    sent = conftest.only(outputs, core_effects.SendMessage).message
    assert (sent.base_revision, sent.revision) == (gateway.revision - 1, gateway.revision)
    assert [record.key for record in sent.records] == ['evacuate/almaty-b']


def test_registrations_settle_also_where_peers_follow_the_store(gateway):
    """Guards against servers that an instance drops because it hears of the outage from peers."""
    near = conftest.dataclasses.replace(PEER, instance_id='front-0')
    far = conftest.dataclasses.replace(PEER, instance_id='front-3', region='astana')
    for member in (near, far):
        gateway.declare(f'members/{member.instance_id}', member)
    gateway.reduce(core_events.MessageReceived('front-0', heartbeat()))
    gateway.advance(100)
    gateway.reduce(events.StoreLost('timeout'))
    gateway.reduce(core_events.MessageReceived('front-0', heartbeat()))
    assert gateway.state.replica.registration_grace_until_ms > gateway.now_ms


def lose_and_regain(gateway, follows_for_ms):
    """Cut the instance from the store; a peer follows it for some time before the store is heard again."""
    near = conftest.dataclasses.replace(PEER, instance_id='front-0')
    gateway.declare('members/front-0', near)
    gateway.reduce(events.StoreLost('timeout'))
    for _ in range(int(follows_for_ms / 500)):
        gateway.reduce(core_events.MessageReceived('front-0', heartbeat()))
        gateway.advance(500)
    gateway.state.servers.views['stock-1'].last_answer_ms = gateway.now_ms
    gateway.declare('servers/stock-1', None)


def test_server_removed_while_only_this_instance_was_cut_off_is_not_used_on(gateway):
    """Guards against requests to a server that has left, long after the store has said so."""
    lose_and_regain(gateway, 4000)
    assert 'stock-1' not in gateway.state.servers.views


def test_server_removed_while_the_store_was_away_is_used_until_it_has_settled(gateway):
    """Guards against a service that is dropped because its registrations lapsed in an outage."""
    lose_and_regain(gateway, 500)
    assert 'stock-1' in gateway.state.servers.views
    gateway.advance(2500)
    assert 'stock-1' not in gateway.state.servers.views
