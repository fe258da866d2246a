"""Tests of the choice of owner and server, slots, queues and retries."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from rhubarbspar import const as package_const
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.routing import crashes
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.components.routing import reducer as routing_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models

OK = models.Answered(models.Response(200, (), b'whole'))
LOST = models.Refused(package_const.REASON_BACKEND_FAILED, models.ExecutionStatus.UNKNOWN)
NOT_CONNECTED = models.Refused(package_const.REASON_BACKEND_FAILED, models.ExecutionStatus.NOT_RUN)
SHED = models.Answered(models.Response(503, (('Request-Run', 'not_run'),), b''))
SLOTS = 6


def started_attempts(outputs):
    """Return the attempts that were started."""
    return [effect for effect in outputs if isinstance(effect, effects.StartAttempt)]


def responses(outputs):
    """Return the outcomes sent to callers, by request id."""
    return {
        effect.request_id: effect.outcome
        for effect in outputs
        if isinstance(effect, effects.Respond)
    }


def messages(outputs, kind):
    """Return the sent messages of one type."""
    return [
        effect.message
        for effect in outputs
        if isinstance(effect, effects.SendMessage) and isinstance(effect.message, kind)
    ]


def finish(instance, attempt, outcome, lost=False):
    """End an attempt with an outcome and return the effects."""
    return instance.handle(events.AttemptFinished(attempt.attempt_id, outcome, 5.0, lost))


def fill(instance, first=1):
    """Occupy all slots of this instance and return the attempts."""
    return [started_attempts(instance.receive(number))[0] for number in range(first, first + SLOTS)]


def without_peers(instance):
    """Remove all peers of the instance."""
    instance.state.membership.peers.clear()


def test_request_is_answered_by_an_own_server(instance):
    """Guards against a request that gets no response although its attempt was answered."""
    (attempt,) = started_attempts(instance.receive())
    assert responses(finish(instance, attempt, OK)) == {'r1': OK}


def test_full_instance_forwards_to_the_region(instance):
    """Guards against forwarding to another region while the own region has free slots."""
    fill(instance)
    outputs = instance.receive(7)
    assert [effect.peer_id for effect in outputs if isinstance(effect, effects.SendMessage)] == [
        'i2'
    ]


def test_refused_request_is_tried_at_other_owners_and_then_queued_here(instance):
    """Guards against a refusal while another owner has free slots, and against endless retries."""
    fill(instance)
    outputs = instance.receive(7)
    refusal = {'reason': package_const.REASON_FULL, 'run': 'not_run'}
    for peer_id in ('i2', 'i3'):
        (forward,) = messages(outputs, routing_models.ForwardRequest)
        answer = routing_models.ForwardAnswer(forward.forward_id, **refusal)
        outputs = instance.handle(events.MessageReceived(peer_id, answer))
    assert instance.state.routing.queues['commissions/v1'].length == 1
    assert not responses(outputs)


def test_late_answer_of_a_peer_is_dropped(instance):
    """Guards against a second response, or one that belongs to another request."""
    fill(instance)
    (forward,) = messages(instance.receive(7), routing_models.ForwardRequest)
    assert responses(instance.tick(3_000))['r7'].run == models.ExecutionStatus.UNKNOWN
    answer = routing_models.ForwardAnswer(forward.forward_id, 200, (), b'late')
    assert not responses(instance.handle(events.MessageReceived('i2', answer)))


def test_answer_of_the_wrong_peer_is_dropped(instance):
    """Guards against a peer that answers a request which was forwarded to another peer."""
    fill(instance)
    (forward,) = messages(instance.receive(7), routing_models.ForwardRequest)
    answer = routing_models.ForwardAnswer(forward.forward_id, 200, (), b'mixed up')
    assert not responses(instance.handle(events.MessageReceived('i3', answer)))


def test_answer_to_an_earlier_incarnation_is_dropped(instance_factory):
    """Guards against a restarted instance that uses an answer to its earlier incarnation."""
    former = instance_factory()
    former.state.membership.incarnation = 'inc0'
    fill(former)
    (old,) = messages(former.receive(7), routing_models.ForwardRequest)
    restarted = instance_factory()
    fill(restarted)
    (new,) = messages(restarted.receive(8), routing_models.ForwardRequest)
    assert new.forward_id != old.forward_id
    answer = routing_models.ForwardAnswer(old.forward_id, 200, (), b'former run')
    assert not responses(restarted.handle(events.MessageReceived('i2', answer)))


def test_timed_out_attempt_is_cancelled_and_unknown(instance):
    """Guards against reusing a connection on which a late answer may still arrive."""
    (attempt,) = started_attempts(instance.receive())
    outputs = instance.tick(2_000)
    assert effects.CancelAttempt(attempt.attempt_id) in outputs
    assert responses(outputs)['r1'].run == models.ExecutionStatus.UNKNOWN
    assert not finish(instance, attempt, OK)


def test_shed_request_runs_at_another_server(instance):
    """Guards against returning the response of a server that shed the request to the caller."""
    (attempt,) = started_attempts(instance.receive())
    (again,) = started_attempts(finish(instance, attempt, SHED))
    assert again.server_id != attempt.server_id


def test_idempotent_request_is_retried_once_and_never_called_not_run(instance):
    """Guards against a false "not run" after an attempt with unknown outcome."""
    without_peers(instance)
    (attempt,) = started_attempts(instance.receive())
    (again,) = started_attempts(finish(instance, attempt, LOST, lost=True))
    outcome = responses(finish(instance, again, NOT_CONNECTED))['r1']
    assert outcome.run == models.ExecutionStatus.UNKNOWN


def test_request_that_crashed_two_servers_is_refused(instance):
    """Guards against one request that crashes every backend server in turn."""
    (attempt,) = started_attempts(instance.receive())
    finish(instance, attempt, LOST, lost=True)
    (again,) = started_attempts(instance.tick(50))
    finish(instance, again, LOST, lost=True)
    outputs = instance.receive(2)
    refusal = models.Refused(package_const.REASON_CRASHES_SERVERS, models.ExecutionStatus.NOT_RUN)
    assert responses(outputs) == {'r2': refusal}


def test_suspect_runs_once_at_a_time(instance):
    """Guards against copies of a request that crash several servers at once."""
    routed = routing_models.RoutedRequest(instance.request(), '', '/open', True, 'v1')
    mark = crashes.request_fingerprint(routed)
    report = routing_models.CrashReport(mark, 'commissions-astana-1-1')
    instance.handle(events.MessageReceived('i3', report))
    instance.tick(50)
    assert started_attempts(instance.receive(1))
    assert not started_attempts(instance.receive(2))
    assert started_attempts(instance.receive(3, target='/open/other'))


def test_completed_suspect_is_cleared(instance):
    """Guards against refusing a harmless request that ran when its server was killed."""
    (attempt,) = started_attempts(instance.receive())
    finish(instance, attempt, LOST, lost=True)
    (again,) = started_attempts(instance.tick(50))
    finish(instance, again, OK)
    (third,) = started_attempts(instance.receive(2))
    finish(instance, third, LOST, lost=True)
    (fourth,) = started_attempts(instance.tick(50))
    assert responses(finish(instance, fourth, OK)) == {'r2': OK}


def test_key_revoked_while_queued_stops_the_request(instance):
    """Guards against a queued request that runs after its key was revoked."""
    without_peers(instance)
    attempts = fill(instance)
    instance.receive(7, target='/', access_key_digest='a' * 64)
    current = instance.state.configuration.current
    instance.state.configuration.current = dataclasses.replace(current, revision=2, access_keys={})
    outputs = finish(instance, attempts[0], OK)
    assert responses(outputs)['r7'] == models.Refused(
        package_const.REASON_KEY_UNKNOWN,
        models.ExecutionStatus.NOT_RUN,
    )


def test_full_queue_drops_the_newest_of_the_longest_account(instance):
    """Guards against one client account that occupies the whole queue."""
    without_peers(instance)
    fill(instance)
    for number in range(7, 7 + 2 * SLOTS):
        instance.receive(number, target='/', access_key_digest='a' * 64)
    outputs = instance.receive(50, target='/', access_key_digest='b' * 64)
    newest = f'r{6 + 2 * SLOTS}'
    assert responses(outputs)[newest].reason == package_const.REASON_FULL
    assert responses(outputs).keys() == {newest}


def test_draining_server_gets_no_new_work(instance):
    """Guards against new requests for a server that reports that it is draining."""
    for server_id in list(instance.state.routing.servers):
        instance.handle(events.LoadReported(server_id, 0, True, True))
    instance.state.membership.peers.clear()
    assert not started_attempts(instance.receive())


@pytest.mark.parametrize('idempotent', [True, False])
def test_lost_peer_connection_is_unknown_or_retried(instance, idempotent):
    """Guards against running a non-idempotent request again after a peer connection was lost."""
    fill(instance)
    routed = routing_models.RoutedRequest(instance.request(7), '', '/open', idempotent, 'v1')
    (sent,) = routing_reducer.submit(instance.state, routed, instance.now_ms)
    outputs = instance.handle(events.PeerDisconnected(sent.peer_id))
    assert bool(messages(outputs, routing_models.ForwardRequest)) == idempotent


OUTCOMES = (OK, LOST, NOT_CONNECTED, SHED)


@hypothesis.settings(
    max_examples=80,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(data=strategies.data())
def test_faults_at_every_step_keep_slots_and_answers_exact(instance_factory, data):
    """Guards against leaked or overcommitted slots and duplicate or missing responses.

    Random sequences of requests, attempt outcomes, ticks and connection losses are applied; the
    slots are checked after each step, the responses at the end.
    """
    instance = instance_factory()
    running = {}
    answered = []
    received = set()
    maybe_ran = set()

    def note(outputs):
        for attempt in started_attempts(outputs):
            running[attempt.attempt_id] = attempt
        for effect in outputs:
            match effect:
                case effects.CancelAttempt(attempt_id):
                    maybe_ran.add(running.pop(attempt_id).request.request_id)
                case effects.Respond(request_id, outcome):
                    answered.append(request_id)
                    if getattr(outcome, 'run', None) == models.ExecutionStatus.NOT_RUN:
                        assert request_id not in maybe_ran, request_id

    for number in range(data.draw(strategies.integers(1, 40), label='steps')):
        step = data.draw(
            strategies.sampled_from(['receive', 'finish', 'tick', 'drop']), label='step'
        )
        if step == 'receive':
            received.add(f'r{number}')
            note(instance.receive(number, target=f'/open/{number}'))
        elif step == 'finish' and running:
            attempt_id = data.draw(strategies.sampled_from(sorted(running)), label='attempt')
            attempt = running.pop(attempt_id)
            outcome = data.draw(strategies.sampled_from(OUTCOMES), label='outcome')
            if outcome is LOST:
                maybe_ran.add(attempt.request.request_id)
            note(finish(instance, attempt, outcome, lost=outcome is LOST))
        elif step == 'tick':
            elapsed_ms = data.draw(strategies.sampled_from([50, 900, 2_500]), label='elapsed_ms')
            note(instance.tick(elapsed_ms))
        elif step == 'drop':
            note(instance.handle(events.PeerDisconnected('i2')))
        for server in instance.state.routing.servers.values():
            assert 0 <= server.busy_slots <= 3
        busy = sum(server.busy_slots for server in instance.state.routing.servers.values())
        assert busy == len(running)
    note(instance.tick(5_000))
    assert sorted(answered) == sorted(received)


def test_cancelled_attempt_ends_before_its_slot_is_used_again(instance):
    """Guards against a server that gets a queued request while the cancelled one still runs."""
    fill(instance)
    without_peers(instance)
    instance.receive(7)
    outputs = instance.handle(events.RequestCancelled('r1'))
    kinds = [type(effect) for effect in outputs]
    assert kinds.index(effects.CancelAttempt) < kinds.index(effects.StartAttempt)


def forward_from(peer_id, number, may_wait=True):
    """Return the event of a request that a peer forwards."""
    message = routing_models.ForwardRequest(
        forward_id=str(number),
        account_id='',
        service_id='commissions',
        version='v1',
        path_prefix='/',
        method='GET',
        target=f'/{number}',
        headers=(),
        body=b'',
        access_key_digest=None,
        idempotency_key=None,
        remaining_ms=2_000,
        idempotent=True,
        may_wait=may_wait,
    )
    return events.MessageReceived(peer_id, message)


def test_full_owner_refuses_what_another_owner_can_start(instance):
    """Guards against queueing a request while another owner has a free slot."""
    for number in range(SLOTS):
        instance.handle(forward_from('i2', number))
    outputs = instance.handle(forward_from('i2', SLOTS, may_wait=False))
    (answer,) = messages(outputs, routing_models.ForwardAnswer)
    assert (answer.reason, answer.run) == (package_const.REASON_FULL, 'not_run')
    assert not messages(instance.handle(forward_from('i2', 7)), routing_models.ForwardAnswer)


def test_forward_may_wait_only_when_no_other_owner_is_known_to_be_free(instance):
    """Guards against queueing because of outdated heartbeats, and against endless refusals."""
    fill(instance)
    (first,) = messages(instance.receive(7), routing_models.ForwardRequest)
    assert not first.may_wait
    full = routing_models.ForwardAnswer(first.forward_id, reason='full', run='not_run')
    (second,) = messages(
        instance.handle(events.MessageReceived('i2', full)), routing_models.ForwardRequest
    )
    assert second.may_wait


def test_without_free_slots_a_request_waits_at_the_shortest_queue(instance):
    """Guards against queueing at the nearest owner while a farther one has an empty queue."""
    for peer_id, queued in (('i2', 2 * SLOTS), ('i3', 0)):
        owned = instance.state.membership.peers[peer_id].owned_servers
        for server_id in owned:
            owned[server_id] = membership_models.OwnedServer(server_id, 0, queued)
    fill(instance)
    for number in range(SLOTS):
        assert not messages(instance.receive(10 + number), routing_models.ForwardRequest)
    outputs = instance.receive(7)
    (forward,) = messages(outputs, routing_models.ForwardRequest)
    assert forward.may_wait
    assert [effect.peer_id for effect in outputs if isinstance(effect, effects.SendMessage)] == [
        'i3'
    ]


def test_forward_allows_the_remaining_time_less_the_round_trip(instance):
    """Guards against a refusal "not run" that arrives after the caller got an unknown outcome."""
    instance.state.membership.peers['i2'].round_trip_ms = 70.0
    fill(instance)
    (forward,) = messages(instance.receive(7), routing_models.ForwardRequest)
    assert forward.remaining_ms == 2_000 - 20 - 70
