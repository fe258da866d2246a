"""Store transactions that take, release and update claims, and their answers."""

from rhubarbspar.components.claims import const
from rhubarbspar.components.claims import lease
from rhubarbspar.components.claims import models
from rhubarbspar.components.claims import records
from rhubarbspar.components.claims import validity
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state


def send_take(
    state: core_state.State,
    names: list[str],
    now_ms: float,
) -> list[effects.Effect]:
    """Take claims without a holder, all in one transaction.

    Comparing the revision of the former holders' record makes the transaction fail if another
    instance held the claim for a while after the last read.
    """
    unconfirmed = {name: _unconfirmed_holders(state, name) for name in names}
    return _send(state, models.WriteKind.TAKE, unconfirmed, now_ms)


def send_release(
    state: core_state.State,
    names: list[str],
    now_ms: float,
) -> list[effects.Effect]:
    """Delete the records of claims and remove this instance from the lists of former holders."""
    unconfirmed = {name: state.claims.held[name].unconfirmed for name in names}
    return _send(state, models.WriteKind.RELEASE, unconfirmed, now_ms)


def send_confirm(
    state: core_state.State,
    names: list[str],
    now_ms: float,
) -> list[effects.Effect]:
    """Remove former holders that are known to have stopped from the records of claims."""
    unconfirmed = {name: state.claims.held[name].unconfirmed for name in names}
    return _send(state, models.WriteKind.CONFIRM, unconfirmed, now_ms)


def apply_answer(
    state: core_state.State,
    answer: events.StoreAnswered,
    now_ms: float,
) -> list[effects.Effect]:
    """Apply a transaction that succeeded; after any other outcome, read the records again."""
    claims = state.claims
    pending = claims.pending_write
    if answer.outcome == events.StoreOutcome.SUCCEEDED:
        claims.written_revision = max(claims.written_revision, answer.revision)
    if pending is None or pending.tag != answer.tag:
        return []
    claims.pending_write = None
    match answer.outcome:
        case events.StoreOutcome.SUCCEEDED:
            return _apply(state, pending, answer.revision, now_ms)
        case events.StoreOutcome.CONFLICTED:
            reason = const.REASON_CONFLICTED
        case events.StoreOutcome.FAILED:
            reason = const.REASON_UNKNOWN
            validity.restart_takeover_waits(state, now_ms)
    return _schedule_read_back(state, reason, now_ms)


def expire_pending_write(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Give up waiting for the answer to a transaction after the timeout; its outcome is unknown."""
    pending = state.claims.pending_write
    if pending is None or now_ms - pending.sent_ms < const.ANSWER_TIMEOUT_MS:
        return []
    state.claims.pending_write = None
    return _schedule_read_back(state, const.REASON_UNKNOWN, now_ms)


def _schedule_read_back(
    state: core_state.State, reason: str, now_ms: float
) -> list[effects.Effect]:
    """Discard the snapshot, so that nothing is planned from it, and schedule an early read."""
    state.claims.snapshot = None
    state.claims.read_tag = ''
    lease.schedule_early_read(state, now_ms)
    return [effects.Count(const.METRIC_CLAIMS, reason)]


def _unconfirmed_holders(state: core_state.State, name: str) -> tuple[models.Holder, ...]:
    """Return the former holders that may still use a claim, without the current incarnation.

    An earlier incarnation of this instance has stopped using its backend servers, but delegations
    of its shares may last a little longer.
    """
    snapshot = state.claims.snapshot
    former = snapshot.former_holders.get(name) if snapshot else None
    local_holder = validity.local_holder(state)
    if former is None:
        return ()
    is_server = name.startswith(const.PREFIX_SERVER)
    return tuple(
        holder
        for holder in former.holders
        if holder != local_holder
        and not (is_server and holder.instance_id == local_holder.instance_id)
    )


def _send(
    state: core_state.State,
    kind: models.WriteKind,
    unconfirmed: dict[str, tuple[models.Holder, ...]],
    now_ms: float,
) -> list[effects.Effect]:
    """Return the transaction for the claims in ``unconfirmed`` and record it as pending."""
    claims = state.claims
    tag = lease.next_tag(state, const.TAG_WRITE)
    claims.pending_write = models.PendingWrite(tag, kind, claims.lease_id, now_ms, unconfirmed)
    compares: list[effects.StoreCompare] = []
    puts: list[effects.StorePut] = []
    deletes: list[str] = []
    for name, holders in unconfirmed.items():
        compares += _revision_compares(state, name)
        if kind == models.WriteKind.RELEASE:
            deletes.append(records.claim_key(name))
        else:
            puts.append(_put_claim(state, name, holders))
            holders = _holders_to_list(state, name, holders)
        if holders:
            puts.append(
                effects.StorePut(
                    records.former_holders_key(name), records.encode_former_holders(holders)
                )
            )
        else:
            deletes.append(records.former_holders_key(name))
    return [effects.StoreTransaction(tag, tuple(compares), tuple(puts), tuple(deletes))]


def _revision_compares(state: core_state.State, name: str) -> list[effects.StoreCompare]:
    """Return comparisons that fail if a claim's records have changed since the snapshot."""
    snapshot = state.claims.snapshot or models.Snapshot()
    stored = snapshot.claims.get(name)
    former = snapshot.former_holders.get(name)
    return [
        effects.StoreCompare(records.claim_key(name), stored.revision if stored else 0),
        effects.StoreCompare(records.former_holders_key(name), former.revision if former else 0),
    ]


def _record(
    state: core_state.State,
    holders: tuple[models.Holder, ...],
) -> models.ClaimRecord:
    return models.ClaimRecord(validity.local_holder(state), state.claims.lease_id, holders)


def _put_claim(
    state: core_state.State,
    name: str,
    holders: tuple[models.Holder, ...],
) -> effects.StorePut:
    encoded = records.encode_claim(_record(state, holders))
    return effects.StorePut(records.claim_key(name), encoded, state.claims.lease_id)


def _holders_to_list(
    state: core_state.State,
    name: str,
    holders: tuple[models.Holder, ...],
) -> tuple[models.Holder, ...]:
    """Return the holders to record as not having released a claim that this instance takes.

    The takeover wait is longer than any former holder can use a share or the coordination of the
    moves, so that only backend servers list more holders than this instance.
    """
    local_holder = validity.local_holder(state)
    return (*holders, local_holder) if name.startswith(const.PREFIX_SERVER) else (local_holder,)


def _apply(
    state: core_state.State,
    pending: models.PendingWrite,
    revision: int,
    now_ms: float,
) -> list[effects.Effect]:
    """Update held claims and the snapshot by a transaction that succeeded, and count its claims."""
    for name in pending.unconfirmed:
        if pending.kind == models.WriteKind.RELEASE:
            _apply_release(state, name, pending, revision)
        else:
            _apply_put(state, name, pending, revision, now_ms)
    is_release = pending.kind == models.WriteKind.RELEASE
    reason = const.REASON_RELEASED if is_release else const.REASON_TAKEN
    return [effects.Count(const.METRIC_CLAIMS, reason) for _ in pending.unconfirmed]


def _apply_release(
    state: core_state.State,
    name: str,
    pending: models.PendingWrite,
    revision: int,
) -> None:
    state.claims.held.pop(name, None)
    snapshot = state.claims.snapshot
    if snapshot is None:
        return
    snapshot.claims.pop(name, None)
    holders = pending.unconfirmed[name]
    if holders:
        snapshot.former_holders[name] = models.StoredFormerHolders(holders, revision)
    else:
        snapshot.former_holders.pop(name, None)


def _apply_put(
    state: core_state.State,
    name: str,
    pending: models.PendingWrite,
    revision: int,
    now_ms: float,
) -> None:
    claims = state.claims
    holders = pending.unconfirmed[name]
    record = models.ClaimRecord(validity.local_holder(state), pending.lease_id, holders)
    stored = models.StoredClaim(record, revision)
    if claims.snapshot is not None:
        claims.snapshot.claims[name] = stored
        listed = _holders_to_list(state, name, holders)
        claims.snapshot.former_holders[name] = models.StoredFormerHolders(listed, revision)
    held = claims.held.get(name)
    if pending.kind == models.WriteKind.TAKE:
        claims.held[name] = lease.new_claim(stored, now_ms)
    elif held is not None:
        held.revision = revision
