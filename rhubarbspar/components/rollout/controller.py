"""Move controller: one instance, the holder of ``const.CLAIM_MOVES``, advances all moves.

Each step is a compare-and-swap on the move's record in the store, so that two holders cannot
conflict.
"""

import dataclasses

from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.components.rollout import analysis
from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import models
from rhubarbspar.components.rollout import moves
from rhubarbspar.components.rollout import records
from rhubarbspar.core import effects
from rhubarbspar.core import state as core_state


def advance_moves(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Write the next record of every move that can advance, if this instance holds the claim."""
    rollout = state.rollout
    if not claims_reducer.holds(state, const.CLAIM_MOVES, now_ms):
        return []
    if rollout.read_requested or now_ms - rollout.read_sent_ms > const.RECORDS_FRESH_MS:
        return []
    outputs: list[effects.Effect] = []
    for move in moves.all_moves(state):
        if move.move_id in rollout.writes:
            continue
        next_record = _next_record(state, move, now_ms)
        if next_record is not None:
            changed_unix_s = _unix_s(state, now_ms) or 0.0
            next_record = dataclasses.replace(next_record, changed_unix_s=changed_unix_s)
            outputs += records.write_record(rollout, next_record)
    return outputs


def _next_record(
    state: core_state.State, move: configuration_models.Move, now_ms: float
) -> models.MoveRecord | None:
    """Return the record that a move changes to now, or ``None`` if it stays as it is."""
    cached = state.rollout.records.get(move.move_id)
    record = cached.record if cached else None
    verdict = state.rollout.verdicts.get(models.VersionKey(move.service_id, move.target))
    if verdict is not None and move.kind is configuration_models.MoveKind.VERSION:
        return _rolled_back(move, verdict.reason, record)
    if cached is None:
        return _first_record(state, move, now_ms)
    if record is None:
        overdue = _is_overdue(state, move, now_ms)
        return _rolled_back(move, const.REASON_DEADLINE, None) if overdue else None
    if record.state is not models.MoveState.UNDER_WAY:
        return None
    if _is_finished(state, move, record, now_ms - cached.first_seen_ms, now_ms):
        return dataclasses.replace(record, state=models.MoveState.DONE)
    if _is_overdue(state, move, now_ms):
        return _rolled_back(move, const.REASON_DEADLINE, record)
    return _next_step(state, move, record, now_ms - cached.first_seen_ms)


def _first_record(
    state: core_state.State, move: configuration_models.Move, now_ms: float
) -> models.MoveRecord | None:
    """Return the record that starts a move, or ``None`` if the move cannot start yet."""
    if _is_overdue(state, move, now_ms):
        return _rolled_back(move, const.REASON_DEADLINE, None)
    if move.kind is configuration_models.MoveKind.VERSION:
        configuration = state.configuration.current
        if configuration is None or move.service_id not in configuration.services:
            return None
        if moves.active_versions(state, move.service_id).version != move.old_version:
            return None
    share = min(const.INITIAL_SHARE, move.cap_share)
    return _new_record(move, models.MoveState.UNDER_WAY, share, '')


def _is_finished(
    state: core_state.State,
    move: configuration_models.Move,
    record: models.MoveRecord,
    unchanged_ms: float,
    now_ms: float,
) -> bool:
    """Tell whether a move is complete.

    A rollout is complete when the candidate has held the full share for long enough without
    suspicion, a drain when its servers have been idle at the full share for long enough.
    """
    if move.kind is configuration_models.MoveKind.VERSION:
        held = record.share >= const.FULL_SHARE and unchanged_ms >= const.HOLD_FULL_SHARE_MS
        return held and not moves.is_suspected(state, move)
    idle_since_ms = state.rollout.idle_since_ms
    if record.share < const.FULL_SHARE:
        return False
    if not _is_drain_idle(state, move, now_ms):
        idle_since_ms.pop(move.move_id, None)
        return False
    idle_ms = now_ms - idle_since_ms.setdefault(move.move_id, now_ms)
    return min(idle_ms, unchanged_ms) >= const.DRAIN_IDLE_MS


def _next_step(
    state: core_state.State,
    move: configuration_models.Move,
    record: models.MoveRecord,
    unchanged_ms: float,
) -> models.MoveRecord | None:
    """Return the record with the next larger share, or ``None`` if no step is due or safe."""
    if record.share >= const.FULL_SHARE or unchanged_ms < const.STEP_INTERVAL_MS:
        return None
    if move.kind is configuration_models.MoveKind.DRAIN:
        return dataclasses.replace(record, share=moves.next_share(move, record.share))
    # A share above the initial one shows that the tests accepted the candidate before, possibly at
    # an earlier holder of the claim.
    accepted_before = record.share > const.INITIAL_SHARE
    if not accepted_before and not analysis.is_accepted(state, move):
        return None
    if moves.is_suspected(state, move):
        return None
    return dataclasses.replace(record, share=moves.next_share(move, record.share))


def _is_drain_idle(state: core_state.State, move: configuration_models.Move, now_ms: float) -> bool:
    """Return whether the servers of a drain have no work, or the drained instance is gone."""
    servers = moves.drained_servers(state, move)
    if not servers:
        return move.target not in membership_reducer.live_instance_ids(state, now_ms)
    return not any(_is_busy(state, server, now_ms) for server in servers)


def _is_busy(
    state: core_state.State, server: configuration_models.BackendServer, now_ms: float
) -> bool:
    """Return whether this instance or a live peer has work running or queued for a server."""
    own = state.routing.servers.get(server.server_id)
    if own is not None and own.busy_slots:
        return True
    reports = (
        peer.owned_servers.get(server.server_id)
        for peer in membership_reducer.live_peers(state, now_ms)
    )
    return any(
        # Free slots say nothing here: a drained server has none, idle or not.
        report.queued > 0 or report.busy_slots > 0
        for report in reports
        if report is not None
    )


def _rolled_back(
    move: configuration_models.Move, reason: str, current: models.MoveRecord | None
) -> models.MoveRecord | None:
    """Return the record that rolls a move back, or ``None`` if a verdict already did."""
    if current is not None and current.state is models.MoveState.TAKEN_BACK:
        if current.reason in const.VERDICT_REASONS:
            return None
    return _new_record(move, models.MoveState.TAKEN_BACK, 0.0, reason)


def _new_record(
    move: configuration_models.Move, state: models.MoveState, share: float, reason: str
) -> models.MoveRecord:
    return models.MoveRecord(
        move_id=move.move_id,
        state=state,
        share=share,
        reason=reason,
        changed_unix_s=0.0,
        service_id=move.service_id,
        version=move.target if move.service_id else '',
    )


def _unix_s(state: core_state.State, now_ms: float) -> float | None:
    """Return the Unix time, or ``None`` if the daemon has not set the offset."""
    offset_ms = state.rollout.unix_offset_ms
    return None if offset_ms is None else (now_ms + offset_ms) / 1000


def _is_overdue(state: core_state.State, move: configuration_models.Move, now_ms: float) -> bool:
    unix_s = _unix_s(state, now_ms)
    return unix_s is not None and unix_s >= move.deadline_unix_s
