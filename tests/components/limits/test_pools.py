"""Rules of pools, delegations and grants that faults in a fleet reach only rarely."""

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
    """Return an instance that holds shares 0 to 7 beside two live peers."""
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
    """Give a message to the limits component and return the messages that it sends."""
    event = events.MessageReceived(peer_id, message)
    outputs = limits_reducer.reduce(state, event, now_ms)
    return [getattr(effect, 'message', getattr(effect, 'event', None)) for effect in outputs]


def home_is(state, home_id):
    """Make an instance the home of every account for the duration of a test."""
    state.limits.homes = dict.fromkeys(state.configuration.current.client_accounts, home_id)
    state.limits.homes_ms = NOW_MS + 1_000_000
    state.limits.homes_revision = state.configuration.current.revision


def filled_pool(state, level):
    """Return a pool of 8 shares of the workshop account at its home, this instance."""
    home_is(state, 'e1')
    pool = state.limits.pools['workshop'] = models.Pool(level=level, updated_ms=NOW_MS)
    pool.parts['e2'] = models.Part(shares=8, ends_ms=NOW_MS + 1_500)
    return pool


def test_outstanding_grants_take_room_until_they_end():
    """Guards against a refill that replaces tokens which peers may still spend."""
    pool = models.Pool(level=0.0, updated_ms=0)
    pool.parts['a'] = models.Part(shares=8, ends_ms=10_000)
    pool.grants['g'] = models.OutstandingGrant('g', 5, 1_000)
    pools.advance(pool, LIMIT, 900)
    assert pool.level == 3
    pools.advance(pool, LIMIT, 1_000)
    pools.advance(pool, LIMIT, 2_000)
    assert pool.level == 8


def test_grant_ends_before_the_parts_that_cover_it():
    """Guards against tokens that are spent after their part went to another pool."""
    pool = models.Pool(level=8.0, updated_ms=0)
    pool.parts['a'] = models.Part(shares=4, ends_ms=1_500)
    pool.parts['b'] = models.Part(shares=4, ends_ms=400)
    assert pools.grant_end(pool, LIMIT, 4, 0) == 1_000
    assert pools.grant_end(pool, LIMIT, 5, 0) == 400
    pools.advance(pool, models.PoolLimit(1.0, 0.0), 600)
    assert pool.level == 4


def test_fewer_shares_drop_tokens_at_once(state):
    """Guards against tokens that outlive the shares they came from."""
    pool = filled_pool(state, 18.0)
    answer = models.DelegationAnswer(NOW_MS, 'run-1', 1_500, ('workshop',), 4, 0)
    receive(state, 'e2', answer, NOW_MS)
    assert pool.level == pytest.approx(0.9 * 40 * 4 / 16)


def test_new_shares_bring_no_tokens(state):
    """Guards against a share that is full in two pools within a moment."""
    pool = filled_pool(state, 3.0)
    answer = models.DelegationAnswer(NOW_MS, 'run-1', 1_500, ('workshop',), 4, 0)
    receive(state, 'e3', answer, NOW_MS)
    assert pool.level == 3


def test_answer_to_an_earlier_run_is_not_used(state):
    """Guards against a delegation measured by the clock of an earlier run."""
    pool = filled_pool(state, 3.0)
    answer = models.DelegationAnswer(NOW_MS, 'run-0', 1_500, ('workshop',), 8, 0)
    receive(state, 'e3', answer, NOW_MS)
    assert 'e3' not in pool.parts


def test_reordered_answer_does_not_replace_a_later_one(state):
    """Guards against a part that comes back after its holder took it away."""
    pool = filled_pool(state, 3.0)
    late = models.DelegationAnswer(NOW_MS - 100, 'run-1', 1_500, ('workshop',), 8, 0)
    receive(
        state, 'e3', models.DelegationAnswer(NOW_MS, 'run-1', 1_500, ('workshop',), 2, 0), NOW_MS
    )
    receive(state, 'e3', late, NOW_MS)
    assert pool.parts['e3'].shares == 2


@pytest.mark.parametrize(
    ('peer_id', 'incarnation', 'at_ms', 'lent'),
    [
        ('e2', 'run-a', 400, True),
        ('e2', 'run-b', 400, False),
        ('e3', 'run-c', 599, False),
        ('e2', 'run-b', 600, True),
        ('e3', 'run-c', 600, True),
    ],
)
def test_part_is_lent_to_one_run_at_a_time(state, peer_id, incarnation, at_ms, lent):
    """Guards against a part in the pools of two homes, or of two runs of one home."""
    home_is(state, 'e2')
    receive(state, 'e2', models.DelegationRequest(0, 'run-a', ('joiner',)), NOW_MS)
    home_is(state, peer_id)
    request = models.DelegationRequest(0, incarnation, ('joiner',))
    answer = receive(state, peer_id, request, NOW_MS + at_ms)[0]
    assert answer.account_ids == (('joiner',) if lent else ())


def test_delegation_does_not_outlast_the_trust_in_the_claim(state):
    """Guards against a delegation that goes on when the share has been taken over."""
    home_is(state, 'e2')
    state.claims.valid_until_ms = NOW_MS + 300
    request = models.DelegationRequest(0, 'run-a', ('joiner',))
    assert receive(state, 'e2', request, NOW_MS)[0].duration_ms == 300
    assert not receive(state, 'e2', request, NOW_MS + 300)


def test_donated_reserve_does_not_refill(state):
    """Guards against refill that counts at the home and in the reserve."""
    home_is(state, 'e2')
    reserve = reserves.advance(state, 'workshop', NOW_MS)
    request = models.DelegationRequest(0, 'run-a', ('workshop',))
    reserve.level = 2.0
    answers = receive(state, 'e2', request, NOW_MS)
    assert [type(answer) for answer in answers][-1] is models.TokenDonation
    reserve.level = 0.0
    assert reserves.advance(state, 'workshop', NOW_MS + 600).level == 0
    assert reserves.advance(state, 'workshop', NOW_MS + 700).level == pytest.approx(0.5)


def test_reserve_that_is_not_full_donates_nothing(state):
    """Guards against a reserve that stays empty because its refill is given away."""
    home_is(state, 'e2')
    reserves.advance(state, 'workshop', NOW_MS)
    request = models.DelegationRequest(0, 'run-a', ('workshop',))
    assert len(receive(state, 'e2', request, NOW_MS)) == 1


def test_shares_held_anew_add_no_tokens_to_the_reserve(state):
    """Guards against refill for a time in which another instance held the share."""
    shares = state.claims.held
    state.claims.held = {}
    reserves.advance(state, 'workshop', NOW_MS)
    state.claims.held = shares
    assert reserves.advance(state, 'workshop', NOW_MS + 10_000).level == 0


def test_late_grant_is_not_spent(state):
    """Guards against tokens that the home has given to others by then."""
    home_is(state, 'e2')
    limits_reducer.admit(state, 'workshop', 'r1', NOW_MS)
    tokens = models.GrantedTokens('workshop', 'run-a/1', 1, 1_000)
    grant = models.TokenGrant(NOW_MS - 1_000, 'run-1', (tokens,), ())
    assert not receive(state, 'e2', grant, NOW_MS)
    timely = models.TokenGrant(NOW_MS - 999, 'run-1', (tokens,), ())
    assert receive(state, 'e2', timely, NOW_MS)[0] == models.AdmissionDecided('r1', True, 0)


def test_grant_to_a_demand_that_waited_is_measured_from_its_receipt(state):
    """Guards against tokens that have ended when they arrive, or that outlast the home's grant."""
    pool = filled_pool(state, 0.0)
    demand = models.TokenDemand('workshop', 1, 0, 1_000)
    request = models.TokenRequest(5, 'run-a', (demand,), ())
    state.limits.moved_ms['workshop'] = NOW_MS
    assert not receive(state, 'e2', request, NOW_MS)
    pool.level = 2.0
    outputs = limits_reducer.reduce(state, events.Tick(), NOW_MS + 700)
    grants = [one.message for one in outputs if isinstance(one.message, models.TokenGrant)]
    granted = grants[0].grants[0]
    assert granted.duration_ms == pool.grants[granted.grant_id].ends_ms - NOW_MS
    assert granted.duration_ms > 700


def test_settlement_frees_only_what_was_spent(state):
    """Guards against room for tokens that a peer may still spend."""
    pool = filled_pool(state, 18.0)
    demand = models.TokenDemand('workshop', 6, 0)
    request = models.TokenRequest(5, 'run-a', (demand,), ())
    granted = receive(state, 'e2', request, NOW_MS)[0].grants[0]
    assert (granted.tokens, pool.level) == (6, 12)
    settlement = models.GrantSettlement('workshop', granted.grant_id, 2, 1)
    receive(state, 'e2', models.TokenRequest(6, 'run-a', (), (settlement,)), NOW_MS)
    assert pools.outstanding(pool, NOW_MS) == 3
    assert pool.level == 13


def decided_at(state, now_ms):
    """Return the decisions of a tick."""
    outputs = limits_reducer.reduce(state, events.Tick(), now_ms)
    decided = [effect.event for effect in outputs if hasattr(effect, 'event')]
    return [(one.request_id, one.granted) for one in decided]


def test_request_without_an_answer_uses_the_reserve_then_is_refused(state):
    """Guards against requests that wait on and on for a home that does not answer."""
    home_is(state, 'e2')
    reserves.advance(state, 'workshop', NOW_MS).level = 1.0
    for request_id in ('r1', 'r2'):
        admission, _ = limits_reducer.admit(state, 'workshop', request_id, NOW_MS)
        assert admission is models.Admission.WAITING
    assert not decided_at(state, NOW_MS + 149)
    assert decided_at(state, NOW_MS + 150) == [('r1', True)]
    state.claims.held = {}
    assert not decided_at(state, NOW_MS + 1_149)
    assert decided_at(state, NOW_MS + 1_150) == [('r2', False)]
    assert limits_reducer.retry_after_ms(state, 'workshop', NOW_MS + 1_150) > 0


def test_request_waits_no_longer_than_its_deadline_allows(state):
    """Guards against a token that comes too late for the request to run."""
    home_is(state, 'e2')
    limits_reducer.admit(state, 'joiner', 'r1', NOW_MS, NOW_MS + 800)
    assert not decided_at(state, NOW_MS + 499)
    assert decided_at(state, NOW_MS + 500) == [('r1', False)]


def test_request_is_asked_again_at_the_new_home(state):
    """Guards against requests that wait for the answer of a home that is gone."""
    home_is(state, 'e2')
    limits_reducer.admit(state, 'joiner', 'r1', NOW_MS)
    home_is(state, 'e3')
    outputs = limits_reducer.reduce(state, events.Tick(), NOW_MS + 50)
    sent = [one for one in outputs if getattr(one, 'peer_id', '') == 'e3']
    asked = [one.message for one in sent if isinstance(one.message, models.TokenRequest)]
    assert [demand.waiting_tokens for demand in asked[0].demands] == [1]
    late = models.TokenGrant(NOW_MS, 'run-1', (), (models.RefusedTokens('joiner', 1, 10),))
    assert not receive(state, 'e2', late, NOW_MS + 60)


def test_request_moves_to_the_queue_of_the_instance_that_becomes_the_home(state):
    """Guards against requests that are lost, or wait for no one, when their own instance is the new home."""
    state.claims.held = {}
    home_is(state, 'e2')
    limits_reducer.admit(state, 'joiner', 'r1', NOW_MS)
    home_is(state, 'e1')
    limits_reducer.reduce(state, events.Tick(), NOW_MS + 50)
    queue = state.limits.pools['joiner'].queue
    assert [queued.request_id for queued in queue] == ['r1']
    home_is(state, 'e3')
    limits_reducer.reduce(state, events.Tick(), NOW_MS + 100)
    assert not queue
    limits_reducer.reduce(state, events.Tick(), NOW_MS + 150)
    assert [waiting.request_id for waiting in state.limits.wallets['joiner'].waiting] == ['r1']


def test_unknown_account_gets_nothing(state):
    """Guards against requests of an account that the configuration no longer has."""
    admission, _ = limits_reducer.admit(state, 'nobody', 'r1', NOW_MS)
    assert admission is models.Admission.REFUSED
    assert accounts.limit_of(state, 'nobody') == accounts.NOTHING


def test_link_part_is_lent_to_one_instance_at_a_time(state, monkeypatch):
    """Guards against a link's budget in the pools of two instances of its region."""
    for peer_id in ('e2', 'e3'):
        known = membership_models.KnownPeer(peer_id, 'almaty-2', '', '')
        state.membership.peers[peer_id] = membership_models.Peer(known)
    request = models.DelegationRequest(0, 'run-a', ())
    lent = receive(state, 'e2', request, NOW_MS)[0].link_shares
    assert lent > 0
    monkeypatch.setattr(membership_reducer, 'live_instance_ids', lambda *_: ['e3'])
    assert receive(state, 'e3', request, NOW_MS + 599)[0].link_shares == 8 - lent
    assert receive(state, 'e3', request, NOW_MS + 600)[0].link_shares == 8


def test_release_keeps_the_parts_that_outstanding_grants_need():
    """Guards against tokens of a peer that are also in the pool of the next home."""
    pool = models.Pool(level=2.0, updated_ms=0)
    pool.parts['a'] = models.Part(shares=4, ends_ms=600)
    pool.parts['b'] = models.Part(shares=4, ends_ms=500)
    pool.parts['c'] = models.Part(shares=4, ends_ms=400)
    pool.grants['g'] = models.OutstandingGrant('g', 5, 450)
    assert pools.release(pool, LIMIT, 100) == ['c']
    assert pools.capacity(pool, LIMIT, 100) == 8
    assert pool.level == 2
    pool.grants.clear()
    assert pools.release(pool, LIMIT, 100) == ['a', 'b', 'c']
    assert (pools.capacity(pool, LIMIT, 100), pool.level) == (0, 0)


def test_answer_to_a_request_before_the_release_is_not_used(state):
    """Guards against a part that comes back to a home which has returned it."""
    pool = filled_pool(state, 3.0)
    state.limits.leaving_accounts.add('workshop')
    home_is(state, 'e3')
    outputs = limits_reducer.reduce(state, events.Tick(), NOW_MS)
    sent = [one.message for one in outputs if isinstance(one, effects.SendMessage)]
    released = [one for one in sent if isinstance(one, models.DelegationRelease)]
    assert [one.account_ids for one in released] == [('workshop',)]
    late = models.DelegationAnswer(NOW_MS - 50, 'run-1', 600, ('workshop',), 8, 0)
    receive(state, 'e2', late, NOW_MS + 50)
    assert pool.level == 0
    assert pools.capacity(pool, LIMIT, NOW_MS + 50) == 0


@pytest.mark.parametrize(
    ('incarnation', 'sent_ms', 'lent'),
    [('run-a', 6, True), ('run-a', 4, False), ('run-b', 6, False)],
)
def test_released_part_is_lent_to_the_next_home(state, incarnation, sent_ms, lent):
    """Guards against a part in two pools after a release of another run or before the last request."""
    home_is(state, 'e2')
    receive(state, 'e2', models.DelegationRequest(5, 'run-a', ('joiner',)), NOW_MS)
    release = models.DelegationRelease(sent_ms, incarnation, ('joiner',))
    receive(state, 'e2', release, NOW_MS + 100)
    home_is(state, 'e3')
    request = models.DelegationRequest(0, 'run-c', ('joiner',))
    answer = receive(state, 'e3', request, NOW_MS + 100)[0]
    assert answer.account_ids == (('joiner',) if lent else ())
