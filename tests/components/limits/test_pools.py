"""Tests of pools, delegations and grants in cases that a simulated fleet reaches only rarely."""

import pytest

from rhubarbspar.components.claims import models as claims_models
from rhubarbspar.components.configuration import reducer as configuration_reducer
from rhubarbspar.components.limits import accounts
from rhubarbspar.components.limits import models
from rhubarbspar.components.limits import pools
from rhubarbspar.components.limits import reducer as limits_reducer
from rhubarbspar.components.limits import reserves
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state

LIMIT = models.PoolLimit(capacity_per_share=1.0, refill_per_share_ms=0.1)
NOW_MS = 10_000.0


@pytest.fixture
def state(configuration, monkeypatch):
    """Return the state of an instance that holds shares 0 to 7 and has two live peers."""
    own = membership_models.KnownPeer('e1', 'almaty-1', '', '')
    instance = core_state.State(membership_models.MembershipState(own, 'run-1'))
    instance.configuration.current = configuration
    instance.claims.lease_id = 'lease-1'
    instance.claims.valid_until_ms = NOW_MS + 100_000
    for number in range(8):
        instance.claims.held[f'share/{number}'] = claims_models.Claim('lease-1', 1, 0, 0)
    monkeypatch.setattr(membership_reducer, 'live_instance_ids', lambda *_: ['e1', 'e2', 'e3'])
    monkeypatch.setattr(configuration_reducer, 'store_known_down', lambda *_: False)
    return instance


def receive(state, peer_id, message, now_ms):
    """Give a message to the limits component and return the messages and events it creates."""
    event = events.MessageReceived(peer_id, message)
    outputs = limits_reducer.reduce(state, event, now_ms)
    return [getattr(effect, 'message', getattr(effect, 'event', None)) for effect in outputs]


def set_home(state, home_id):
    """Make an instance the home of every account until the end of the test."""
    state.limits.homes = dict.fromkeys(state.configuration.current.client_accounts, home_id)
    state.limits.homes_chosen_ms = NOW_MS + 1_000_000
    state.limits.homes_revision = state.configuration.current.revision


def filled_pool(state, level):
    """Return the pool of the workshop account at its home, this instance, with 8 shares."""
    set_home(state, 'e1')
    pool = state.limits.pools['workshop'] = models.Pool(level=level, updated_ms=NOW_MS)
    pool.delegations['e2'] = models.ReceivedDelegation(shares=8, ends_ms=NOW_MS + 1_500)
    return pool


def test_outstanding_grants_take_room_until_they_end():
    """Guards against a refill up to the capacity while peers may still spend granted tokens."""
    pool = models.Pool(level=0.0, updated_ms=0)
    pool.delegations['a'] = models.ReceivedDelegation(shares=8, ends_ms=10_000)
    pool.grants['g'] = models.OutstandingGrant('g', 5, 1_000)
    pools.refill(pool, LIMIT, 900)
    assert pool.level == 3
    pools.refill(pool, LIMIT, 1_000)
    pools.refill(pool, LIMIT, 2_000)
    assert pool.level == 8


def test_grant_ends_no_later_than_the_delegations_that_cover_it():
    """Guards against tokens that are spent after their share was delegated to another pool."""
    pool = models.Pool(level=8.0, updated_ms=0)
    pool.delegations['a'] = models.ReceivedDelegation(shares=4, ends_ms=1_500)
    pool.delegations['b'] = models.ReceivedDelegation(shares=4, ends_ms=400)
    assert pools.grant_end_ms(pool, LIMIT, 4, 0) == 1_000
    assert pools.grant_end_ms(pool, LIMIT, 5, 0) == 400
    pools.refill(pool, models.PoolLimit(1.0, 0.0), 600)
    assert pool.level == 4


def test_fewer_shares_drop_tokens_at_once(state):
    """Guards against tokens that exceed the capacity when a holder delegates fewer shares."""
    pool = filled_pool(state, 18.0)
    answer = models.DelegationAnswer(NOW_MS, 'run-1', 1_500, ('workshop',), 4, 0)
    receive(state, 'e2', answer, NOW_MS)
    assert pool.level == pytest.approx(0.9 * 40 * 4 / 16)


def test_new_shares_bring_no_tokens(state):
    """Guards against spending the burst of a share twice: in its old pool and in the new one."""
    pool = filled_pool(state, 3.0)
    answer = models.DelegationAnswer(NOW_MS, 'run-1', 1_500, ('workshop',), 4, 0)
    receive(state, 'e3', answer, NOW_MS)
    assert pool.level == 3


def test_answer_to_an_earlier_incarnation_is_not_used(state):
    """Guards against a delegation whose end is a time of an earlier incarnation's clock."""
    pool = filled_pool(state, 3.0)
    answer = models.DelegationAnswer(NOW_MS, 'run-0', 1_500, ('workshop',), 8, 0)
    receive(state, 'e3', answer, NOW_MS)
    assert 'e3' not in pool.delegations


def test_reordered_answer_does_not_replace_a_later_one(state):
    """Guards against a delegation that is restored after its holder delegated less."""
    pool = filled_pool(state, 3.0)
    late = models.DelegationAnswer(NOW_MS - 100, 'run-1', 1_500, ('workshop',), 8, 0)
    receive(
        state, 'e3', models.DelegationAnswer(NOW_MS, 'run-1', 1_500, ('workshop',), 2, 0), NOW_MS
    )
    receive(state, 'e3', late, NOW_MS)
    assert pool.delegations['e3'].shares == 2


@pytest.mark.parametrize(
    ('peer_id', 'incarnation', 'at_ms', 'expect_delegated'),
    [
        ('e2', 'run-a', 400, True),
        ('e2', 'run-b', 400, False),
        ('e3', 'run-c', 599, False),
        ('e2', 'run-b', 600, True),
        ('e3', 'run-c', 600, True),
    ],
)
def test_share_is_delegated_to_one_incarnation_at_a_time(
    state, peer_id, incarnation, at_ms, expect_delegated
):
    """Guards against a share that counts at two homes, or at two incarnations of one home."""
    set_home(state, 'e2')
    receive(state, 'e2', models.DelegationRequest(0, 'run-a', ('joiner',)), NOW_MS)
    set_home(state, peer_id)
    request = models.DelegationRequest(0, incarnation, ('joiner',))
    answer = receive(state, peer_id, request, NOW_MS + at_ms)[0]
    assert answer.account_ids == (('joiner',) if expect_delegated else ())


def test_delegation_does_not_outlast_the_validity_of_the_claim(state):
    """Guards against a delegation that is still in force when another instance claims the share."""
    set_home(state, 'e2')
    state.claims.valid_until_ms = NOW_MS + 300
    request = models.DelegationRequest(0, 'run-a', ('joiner',))
    assert receive(state, 'e2', request, NOW_MS)[0].duration_ms == 300
    assert not receive(state, 'e2', request, NOW_MS + 300)


def test_donated_reserve_does_not_refill(state):
    """Guards against refill that counts both at the home and in the reserve."""
    set_home(state, 'e2')
    reserve = reserves.refill(state, 'workshop', NOW_MS)
    request = models.DelegationRequest(0, 'run-a', ('workshop',))
    reserve.level = 2.0
    answers = receive(state, 'e2', request, NOW_MS)
    assert [type(answer) for answer in answers][-1] is models.TokenDonation
    reserve.level = 0.0
    assert reserves.refill(state, 'workshop', NOW_MS + 600).level == 0
    assert reserves.refill(state, 'workshop', NOW_MS + 700).level == pytest.approx(0.5)


def test_reserve_that_is_not_full_donates_nothing(state):
    """Guards against a reserve that stays empty because its refill is always donated."""
    set_home(state, 'e2')
    reserves.refill(state, 'workshop', NOW_MS)
    request = models.DelegationRequest(0, 'run-a', ('workshop',))
    assert len(receive(state, 'e2', request, NOW_MS)) == 1


def test_newly_held_shares_add_no_tokens_to_the_reserve(state):
    """Guards against refill for the time in which another instance held the share."""
    shares = state.claims.held
    state.claims.held = {}
    reserves.refill(state, 'workshop', NOW_MS)
    state.claims.held = shares
    assert reserves.refill(state, 'workshop', NOW_MS + 10_000).level == 0


def test_late_grant_is_not_spent(state):
    """Guards against spending tokens that the home has granted to others after the grant ended."""
    set_home(state, 'e2')
    limits_reducer.admit(state, 'workshop', 'r1', NOW_MS)
    tokens = models.GrantedTokens('workshop', 'run-a/1', 1, 1_000)
    grant = models.TokenGrant(NOW_MS - 1_000, 'run-1', (tokens,), ())
    assert not receive(state, 'e2', grant, NOW_MS)
    timely = models.TokenGrant(NOW_MS - 999, 'run-1', (tokens,), ())
    assert receive(state, 'e2', timely, NOW_MS)[0] == models.AdmissionDecided('r1', True, 0)


def test_grant_to_a_demand_that_waited_is_measured_from_its_receipt(state):
    """Guards against a grant that has ended on arrival, or that outlasts its record at the home."""
    pool = filled_pool(state, 0.0)
    demand = models.TokenDemand('workshop', 1, 0, 1_000)
    request = models.TokenRequest(5, 'run-a', (demand,), ())
    state.limits.became_home_ms['workshop'] = NOW_MS
    assert not receive(state, 'e2', request, NOW_MS)
    pool.level = 2.0
    outputs = limits_reducer.reduce(state, events.Tick(), NOW_MS + 700)
    grants = [effect.message for effect in outputs if isinstance(effect.message, models.TokenGrant)]
    granted = grants[0].grants[0]
    assert granted.duration_ms == pool.grants[granted.grant_id].ends_ms - NOW_MS
    assert granted.duration_ms > 700


def test_settlement_frees_only_what_was_spent(state):
    """Guards against freeing the capacity of tokens that a peer may still spend."""
    pool = filled_pool(state, 18.0)
    demand = models.TokenDemand('workshop', 6, 0)
    request = models.TokenRequest(5, 'run-a', (demand,), ())
    granted = receive(state, 'e2', request, NOW_MS)[0].grants[0]
    assert (granted.tokens, pool.level) == (6, 12)
    settlement = models.GrantSettlement('workshop', granted.grant_id, 2, 1)
    receive(state, 'e2', models.TokenRequest(6, 'run-a', (), (settlement,)), NOW_MS)
    assert pools.outstanding_tokens(pool, NOW_MS) == 3
    assert pool.level == 13


def decided_at(state, now_ms):
    """Run a tick and return the decisions on waiting requests."""
    outputs = limits_reducer.reduce(state, events.Tick(), now_ms)
    decided = [effect.event for effect in outputs if hasattr(effect, 'event')]
    return [(decision.request_id, decision.granted) for decision in decided]


def test_request_without_an_answer_uses_the_reserve_then_is_refused(state):
    """Guards against requests that wait without limit for a home that does not answer."""
    set_home(state, 'e2')
    reserves.refill(state, 'workshop', NOW_MS).level = 1.0
    for request_id in ('r1', 'r2'):
        admission, _ = limits_reducer.admit(state, 'workshop', request_id, NOW_MS)
        assert admission is models.Admission.WAITING
    assert not decided_at(state, NOW_MS + 149)
    assert decided_at(state, NOW_MS + 150) == [('r1', True)]
    state.claims.held = {}
    assert not decided_at(state, NOW_MS + 1_149)
    assert decided_at(state, NOW_MS + 1_150) == [('r2', False)]
    assert limits_reducer.retry_after_ms(state, 'workshop', NOW_MS + 1_150) > 0


def test_request_waits_only_until_it_can_still_run_before_its_deadline(state):
    """Guards against a token that is granted too late for the request to run."""
    set_home(state, 'e2')
    limits_reducer.admit(state, 'joiner', 'r1', NOW_MS, NOW_MS + 800)
    assert not decided_at(state, NOW_MS + 499)
    assert decided_at(state, NOW_MS + 500) == [('r1', False)]


def test_token_is_requested_again_from_the_new_home(state):
    """Guards against requests that wait for the answer of a former home."""
    set_home(state, 'e2')
    limits_reducer.admit(state, 'joiner', 'r1', NOW_MS)
    set_home(state, 'e3')
    outputs = limits_reducer.reduce(state, events.Tick(), NOW_MS + 50)
    sent = [effect for effect in outputs if getattr(effect, 'peer_id', '') == 'e3']
    asked = [effect.message for effect in sent if isinstance(effect.message, models.TokenRequest)]
    assert [demand.waiting_tokens for demand in asked[0].demands] == [1]
    late = models.TokenGrant(NOW_MS, 'run-1', (), (models.RefusedTokens('joiner', 1, 10),))
    assert not receive(state, 'e2', late, NOW_MS + 60)


def test_request_moves_to_the_queue_of_the_instance_that_becomes_the_home(state):
    """Guards against lost requests when their own instance becomes the home or stops being it."""
    state.claims.held = {}
    set_home(state, 'e2')
    limits_reducer.admit(state, 'joiner', 'r1', NOW_MS)
    set_home(state, 'e1')
    limits_reducer.reduce(state, events.Tick(), NOW_MS + 50)
    queue = state.limits.pools['joiner'].queue
    assert [queued.request_id for queued in queue] == ['r1']
    set_home(state, 'e3')
    limits_reducer.reduce(state, events.Tick(), NOW_MS + 100)
    assert not queue
    limits_reducer.reduce(state, events.Tick(), NOW_MS + 150)
    assert [waiting.request_id for waiting in state.limits.remote_accounts['joiner'].waiting] == [
        'r1'
    ]


def test_unknown_account_gets_nothing(state):
    """Guards against tokens for an account that is not in the configuration."""
    admission, _ = limits_reducer.admit(state, 'nobody', 'r1', NOW_MS)
    assert admission is models.Admission.REFUSED
    assert accounts.pool_limit(state, 'nobody') == accounts.ZERO_LIMIT


def test_link_share_is_delegated_to_one_instance_at_a_time(state, monkeypatch):
    """Guards against a share of a link that counts at two instances of its source region."""
    for peer_id in ('e2', 'e3'):
        known = membership_models.KnownPeer(peer_id, 'almaty-2', '', '')
        state.membership.peers[peer_id] = membership_models.Peer(known)
    request = models.DelegationRequest(0, 'run-a', ())
    delegated = receive(state, 'e2', request, NOW_MS)[0].link_shares
    assert delegated > 0
    monkeypatch.setattr(membership_reducer, 'live_instance_ids', lambda *_: ['e3'])
    assert receive(state, 'e3', request, NOW_MS + 599)[0].link_shares == 8 - delegated
    assert receive(state, 'e3', request, NOW_MS + 600)[0].link_shares == 8


def test_release_keeps_the_delegations_that_outstanding_grants_need():
    """Guards against tokens that a peer may spend and that are also in the new home's pool."""
    pool = models.Pool(level=2.0, updated_ms=0)
    pool.delegations['a'] = models.ReceivedDelegation(shares=4, ends_ms=600)
    pool.delegations['b'] = models.ReceivedDelegation(shares=4, ends_ms=500)
    pool.delegations['c'] = models.ReceivedDelegation(shares=4, ends_ms=400)
    pool.grants['g'] = models.OutstandingGrant('g', 5, 450)
    assert pools.release(pool, LIMIT, 100) == ['c']
    assert pools.capacity(pool, LIMIT, 100) == 8
    assert pool.level == 2
    pool.grants.clear()
    assert pools.release(pool, LIMIT, 100) == ['a', 'b', 'c']
    assert (pools.capacity(pool, LIMIT, 100), pool.level) == (0, 0)


def test_answer_to_a_request_before_the_release_is_not_used(state):
    """Guards against a delegation that is restored at a home that has released it."""
    pool = filled_pool(state, 3.0)
    state.limits.moved_away_accounts.add('workshop')
    set_home(state, 'e3')
    outputs = limits_reducer.reduce(state, events.Tick(), NOW_MS)
    sent = [effect.message for effect in outputs if isinstance(effect, effects.SendMessage)]
    released = [effect for effect in sent if isinstance(effect, models.DelegationRelease)]
    assert [effect.account_ids for effect in released] == [('workshop',)]
    late = models.DelegationAnswer(NOW_MS - 50, 'run-1', 600, ('workshop',), 8, 0)
    receive(state, 'e2', late, NOW_MS + 50)
    assert pool.level == 0
    assert pools.capacity(pool, LIMIT, NOW_MS + 50) == 0


@pytest.mark.parametrize(
    ('incarnation', 'sent_ms', 'expect_delegated'),
    [('run-a', 6, True), ('run-a', 4, False), ('run-b', 6, False)],
)
def test_released_share_is_delegated_to_the_new_home(state, incarnation, sent_ms, expect_delegated):
    """Guards against a share that counts in two pools after an invalid release.

    A release by another incarnation, or from before the last request, must not end the delegation.
    """
    set_home(state, 'e2')
    receive(state, 'e2', models.DelegationRequest(5, 'run-a', ('joiner',)), NOW_MS)
    release = models.DelegationRelease(sent_ms, incarnation, ('joiner',))
    receive(state, 'e2', release, NOW_MS + 100)
    set_home(state, 'e3')
    request = models.DelegationRequest(0, 'run-c', ('joiner',))
    answer = receive(state, 'e3', request, NOW_MS + 100)[0]
    assert answer.account_ids == (('joiner',) if expect_delegated else ())
