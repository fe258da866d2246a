"""Grant and renewal of this instance's store lease, and reads of all claim records."""

from rhubarbspar.components.claims import const
from rhubarbspar.components.claims import models
from rhubarbspar.components.claims import records
from rhubarbspar.components.claims import validity
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state


def next_tag(state: core_state.State, prefix: str) -> str:
    """Return ``prefix`` with a number that makes the store call's tag unique in this process."""
    claims = state.claims
    claims.last_call_number += 1
    return f'{prefix}/{claims.last_call_number}'


def all_released(state: core_state.State) -> bool:
    """Return whether a planned stop has released all claims and awaits no transaction."""
    claims = state.claims
    return claims.stopping and not claims.held and claims.pending_write is None


def request_or_renew(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Renew the lease, or request a new one if there is none, when the interval has passed."""
    claims = state.claims
    interval_ms = const.RENEWAL_INTERVAL_MS if claims.lease_id else const.GRANT_RETRY_MS
    if now_ms - claims.lease_sent_ms < interval_ms or all_released(state):
        return []
    claims.lease_sent_ms = now_ms
    if claims.lease_id:
        return [effects.LeaseRenew(next_tag(state, const.TAG_RENEW), claims.lease_id)]
    return [effects.LeaseGrant(next_tag(state, const.TAG_GRANT), const.LEASE_TTL_MS)]


def apply_grant(
    state: core_state.State,
    answer: events.StoreAnswered,
    now_ms: float,
) -> list[effects.Effect]:
    """Start to use a granted lease, unless an earlier request already got one."""
    claims = state.claims
    if answer.outcome != events.StoreOutcome.SUCCEEDED or not answer.lease_id or claims.lease_id:
        return []
    claims.lease_id = answer.lease_id
    claims.lease_sent_ms = answer.sent_ms
    claims.valid_until_ms = float('-inf')
    claims.lease_call_number = claims.last_call_number
    claims.registered_ms = None
    validity.extend_validity(state, answer.sent_ms)
    return request_read(state, now_ms)


def apply_renewal(
    state: core_state.State,
    answer: events.StoreAnswered,
    now_ms: float,
) -> list[effects.Effect]:
    """Extend the lease's validity from the time its renewal was sent, or abandon an ended lease.

    Answers to renewals of an earlier lease are ignored.
    """
    if not state.claims.lease_id or _call_number(answer.tag) <= state.claims.lease_call_number:
        return []
    match answer.outcome:
        case events.StoreOutcome.SUCCEEDED:
            validity.extend_validity(state, answer.sent_ms)
        case events.StoreOutcome.CONFLICTED:
            return abandon_lease(state, now_ms)
        case events.StoreOutcome.FAILED:
            validity.restart_takeover_waits(state, now_ms)
    return []


def _call_number(tag: str) -> int:
    """Return the number that ``next_tag`` put into a tag."""
    return int(tag.rpartition('/')[2])


def abandon_lease(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Stop using every claim because the lease has ended, and request a new lease."""
    claims = state.claims
    for claim in claims.held.values():
        validity.mark_record_ended(claim, now_ms)
    claims.lease_id = ''
    claims.lease_sent_ms = float('-inf')
    return [
        effects.Count(const.METRIC_CLAIMS, const.REASON_LEASE_LOST),
        *request_or_renew(state, now_ms),
    ]


def request_read(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Read all claim records unless a read is still unanswered and has not timed out."""
    claims = state.claims
    if claims.read_tag and now_ms - claims.read_sent_ms < const.ANSWER_TIMEOUT_MS:
        return []
    claims.read_tag = next_tag(state, const.TAG_READ)
    claims.read_sent_ms = now_ms
    claims.read_due_ms = now_ms + const.READ_INTERVAL_MS
    return [effects.StoreGet(claims.read_tag, const.KEY_PREFIX, prefix=True)]


def read_when_due(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Read all claim records at the regular interval, or earlier if a retry was scheduled."""
    if now_ms < state.claims.read_due_ms or all_released(state):
        return []
    return request_read(state, now_ms)


def schedule_early_read(state: core_state.State, now_ms: float) -> None:
    """Schedule a read before the regular one, after a conflict or a failure."""
    claims = state.claims
    claims.read_due_ms = min(claims.read_due_ms, now_ms + const.READ_RETRY_MS)


def apply_read(
    state: core_state.State,
    answer: events.StoreAnswered,
    now_ms: float,
) -> list[effects.Effect]:
    """Replace the snapshot by the records read and reconcile this instance's claims with it.

    An answer from before this instance's last confirmed write is discarded and read again.
    """
    claims = state.claims
    if answer.tag != claims.read_tag:
        return []
    claims.read_tag = ''
    if answer.outcome != events.StoreOutcome.SUCCEEDED:
        schedule_early_read(state, now_ms)
        return []
    if answer.revision < claims.written_revision:
        return request_read(state, now_ms)
    claims.snapshot = records.read_snapshot(answer.records)
    claims.snapshot_sent_ms = answer.sent_ms
    claims.last_plan_ms = float('-inf')
    _detect_lost_registration(state, claims.snapshot, answer.sent_ms)
    return _reconcile(state, claims.snapshot, now_ms)


def _detect_lost_registration(
    state: core_state.State, snapshot: models.Snapshot, sent_ms: float
) -> None:
    """Make this instance register again if the store shows that its registration was lost."""
    registered_ms = state.claims.registered_ms
    if registered_ms is None or state.membership.own.instance_id in snapshot.registered_ids:
        return
    if sent_ms - registered_ms >= const.READ_RETRY_MS:
        state.claims.registered_ms = None


def _reconcile(
    state: core_state.State,
    snapshot: models.Snapshot,
    now_ms: float,
) -> list[effects.Effect]:
    """Drop claims that this instance has lost, and add claims that the store records for it.

    The store may have executed a transaction whose answer was lost.
    """
    outputs: list[effects.Effect] = []
    for held_name in tuple(state.claims.held):
        outputs.extend(_reconcile_claim(state, snapshot, held_name, now_ms))
    local_holder = validity.local_holder(state)
    for name, stored in snapshot.claims.items():
        if stored.record.holder == local_holder and name not in state.claims.held:
            state.claims.held[name] = new_claim(stored, now_ms)
    return outputs


def _reconcile_claim(
    state: core_state.State,
    snapshot: models.Snapshot,
    name: str,
    now_ms: float,
) -> list[effects.Effect]:
    """Update one held claim from its record, or drop it if it was released or taken over."""
    claim = state.claims.held[name]
    stored = snapshot.claims.get(name)
    if stored is None:
        if claim.release_sent or not _is_listed_as_former_holder(state, snapshot, name):
            state.claims.held.pop(name)
            return [effects.Count(const.METRIC_CLAIMS, const.REASON_RELEASED)]
        validity.mark_record_ended(claim, now_ms)
        return []
    if stored.record.holder != validity.local_holder(state):
        state.claims.held.pop(name)
        return [effects.Count(const.METRIC_CLAIMS, const.REASON_LOST)]
    claim.revision = stored.revision
    claim.lease_id = stored.record.lease_id
    return []


def _is_listed_as_former_holder(
    state: core_state.State, snapshot: models.Snapshot, name: str
) -> bool:
    former = snapshot.former_holders.get(name)
    return former is not None and validity.local_holder(state) in former.holders


def new_claim(stored: models.StoredClaim, now_ms: float) -> models.Claim:
    """Return a held claim for a record that the store has just confirmed.

    It is usable at once if every former holder has released it, else after the takeover wait.
    """
    wait_ms = const.TAKEOVER_WAIT_MS if stored.record.unconfirmed else 0
    return models.Claim(
        lease_id=stored.record.lease_id,
        revision=stored.revision,
        taken_ms=now_ms,
        usable_from_ms=now_ms + wait_ms,
        unconfirmed=stored.record.unconfirmed,
    )
