"""Versions, shares and servers that the configured moves, their records and the verdicts allow."""

import dataclasses
from collections import abc

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import models
from rhubarbspar.components.rollout import records
from rhubarbspar.core import state as core_state


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveVersions:
    """The version in force for a service, and the move that is rolling out a candidate, if any."""

    version: str
    move: configuration_models.Move | None


def all_moves(state: core_state.State) -> list[configuration_models.Move]:
    """Return the configured moves in the order of their ids."""
    configuration = state.configuration.current
    if configuration is None:
        return []
    return [move for _, move in sorted(configuration.moves.items())]


def moves_on_trial(state: core_state.State) -> abc.Iterator[configuration_models.Move]:
    """Return the version rollouts in progress whose candidate has not been rejected."""
    for move in all_moves(state):
        if move.kind is not configuration_models.MoveKind.VERSION:
            continue
        under_way = recorded_state(state, move.move_id) is models.MoveState.UNDER_WAY
        if under_way and not is_rejected(state, move.service_id, move.target):
            yield move


def recorded_state(state: core_state.State, move_id: str) -> models.MoveState | None:
    """Return the state in a move's record, or ``None`` without a readable record."""
    cached = state.rollout.records.get(move_id)
    if cached is None or cached.record is None:
        return None
    return cached.record.state


def is_rejected(state: core_state.State, service_id: str, version: str) -> bool:
    """Tell whether a verdict has rejected a version."""
    return models.VersionKey(service_id, version) in state.rollout.verdicts


def is_share_limited(state: core_state.State, service_id: str, version: str) -> bool:
    """Tell whether a version may use only the slots that the share of its move allows.

    That holds for the target of a rollout that is not done, unless the version is in force already.
    """
    if active_versions(state, service_id).version == version:
        return False
    return any(
        move.service_id == service_id
        and move.target == version
        and recorded_state(state, move.move_id) is not models.MoveState.DONE
        for move in all_moves(state)
    )


def active_versions(state: core_state.State, service_id: str) -> ActiveVersions:
    """Return the version in force after all completed moves, and the rollout in progress from it.

    Raises
    ------
    KeyError
        If the service is not configured.
    """
    configuration = state.configuration.current
    if configuration is None:
        raise KeyError(service_id)
    remaining_moves = [
        move
        for move in all_moves(state)
        if move.service_id == service_id and not is_rejected(state, service_id, move.target)
    ]
    version = _version_or_fallback(state, service_id, configuration.services[service_id].version)
    while True:
        completed = _find_move(state, remaining_moves, version, models.MoveState.DONE)
        if completed is None:
            break
        remaining_moves.remove(completed)
        version = completed.target
    return ActiveVersions(
        version, _find_move(state, remaining_moves, version, models.MoveState.UNDER_WAY)
    )


def load_recorded_verdicts(state: core_state.State) -> None:
    """Add the verdicts recorded for configured moves to the known verdicts."""
    for move in all_moves(state):
        cached = state.rollout.records.get(move.move_id)
        record = cached.record if cached else None
        if record is None or record.reason not in const.VERDICT_REASONS:
            continue
        key = models.VersionKey(move.service_id, move.target)
        verdict = models.Verdict(move.service_id, move.target, '', record.reason)
        state.rollout.verdicts.setdefault(key, verdict)


def update_local_shares(state: core_state.State, now_ms: float) -> None:
    """Move the local shares towards the recorded ones, in steps, or at once for a rejected version.

    An instance that missed several steps takes them one by one, so that its own traffic never
    shifts by more than the cap at once. Without fresh records it goes down by the same steps.
    """
    for move in all_moves(state):
        local = state.rollout.shares.get(move.move_id)
        allowed = allowed_share(state, move, now_ms)
        if local is not None:
            share = _next_local_share(state, move, allowed, now_ms)
        elif recorded_state(state, move.move_id) is not None:
            share = allowed
        else:
            continue
        _set_share(state.rollout, move.move_id, share, now_ms)


def _set_share(rollout: models.RolloutState, move_id: str, share: float, now_ms: float) -> None:
    local = rollout.shares.get(move_id)
    if local is None or local.share != share:
        rollout.shares[move_id] = models.LocalShare(share, now_ms)


def _next_local_share(
    state: core_state.State, move: configuration_models.Move, allowed: float, now_ms: float
) -> float:
    """Return the local share after at most one step towards the allowed share."""
    local = state.rollout.shares[move.move_id]
    if allowed <= local.share and not _lowers_in_steps(state, move, now_ms):
        return allowed
    if now_ms - local.changed_ms < const.STEP_INTERVAL_MS:
        return local.share
    if allowed <= local.share:
        return max(allowed, round(local.share - move.cap_share, const.SHARE_DIGITS))
    return min(allowed, next_share(move, local.share))


def _lowers_in_steps(
    state: core_state.State, move: configuration_models.Move, now_ms: float
) -> bool:
    """Tell whether a share is lowered in steps rather than at once.

    Steps are used if fresh records are missing but nothing known excludes the version. After a
    pause of the process the share is lowered at once: the process may have missed a verdict, and it
    served no requests during the pause.
    """
    if recorded_state(state, move.move_id) in {None, models.MoveState.TAKEN_BACK}:
        return False
    if is_rejected(state, move.service_id, move.target) or records.are_fresh(state, now_ms):
        return False
    return now_ms - state.rollout.last_tick_ms <= const.RECORDS_FRESH_MS


def next_share(move: configuration_models.Move, share: float) -> float:
    """Return the share after one more step, which is as large as the move's cap."""
    stepped = round(share + move.cap_share, const.SHARE_DIGITS)
    return min(const.FULL_SHARE, stepped)


def recorded_share(state: core_state.State, move: configuration_models.Move) -> float:
    """Return the share in a move's last known record, or zero without a readable one."""
    cached = state.rollout.records.get(move.move_id)
    return cached.record.share if cached and cached.record else 0.0


def allowed_share(state: core_state.State, move: configuration_models.Move, now_ms: float) -> float:
    """Return the largest share that records, verdicts and tests allow for a move now."""
    cached = state.rollout.records.get(move.move_id)
    if cached is None or cached.record is None:
        return 0.0
    if cached.record.state is models.MoveState.TAKEN_BACK:
        return 0.0
    if move.kind is configuration_models.MoveKind.DRAIN:
        # Without fresh records a drain keeps its share, because its servers may be about to be
        # switched off.
        return cached.record.share
    if is_rejected(state, move.service_id, move.target) or not records.are_fresh(state, now_ms):
        return 0.0
    if is_suspected(state, move):
        return _reduced_share(move, cached.record.share)
    return cached.record.share


def is_suspected(state: core_state.State, move: configuration_models.Move) -> bool:
    """Tell whether a candidate has many faults, but too few old requests to compare them with."""
    return any(test.suspected for test in state.rollout.tests.get(move.move_id, {}).values())


def _reduced_share(move: configuration_models.Move, share: float) -> float:
    """Return a share one step lower, so that the old version gets requests to compare with."""
    lower = round(share - move.cap_share, const.SHARE_DIGITS)
    return min(share, max(const.INITIAL_SHARE, lower))


def local_share(state: core_state.State, move: configuration_models.Move, now_ms: float) -> float:
    """Return the share in force on this instance.

    It is computed from the current time, so that it is right even if the process was paused since
    the last tick.
    """
    local = state.rollout.shares.get(move.move_id)
    if local is None:
        return 0.0
    allowed = allowed_share(state, move, now_ms)
    return min(local.share, _next_local_share(state, move, allowed, now_ms))


def find_server(
    state: core_state.State, server_id: str
) -> tuple[str, configuration_models.BackendServer] | None:
    """Return the service id and the configuration of a backend server, or ``None`` if unknown."""
    rollout = state.rollout
    configuration = state.configuration.current
    if rollout.servers_configuration is not configuration:
        rollout.servers_configuration = configuration
        services = configuration.services if configuration else {}
        rollout.servers = {
            server.server_id: (service.service_id, server)
            for service in services.values()
            for server in service.backend_servers
        }
    return rollout.servers.get(server_id)


def is_drained(state: core_state.State, server: configuration_models.BackendServer) -> bool:
    """Tell whether a drain that was not rolled back has reached a server.

    A single backend server is drained at once. The servers of a failure domain are drained in the
    order of their ids, as far as the share of the move covers their share of the service's slots.
    """
    return any(
        _drain_includes(state, move, server)
        for move in all_moves(state)
        if move.kind is configuration_models.MoveKind.DRAIN
        and recorded_state(state, move.move_id) is not models.MoveState.TAKEN_BACK
    )


def _drain_includes(
    state: core_state.State,
    move: configuration_models.Move,
    server: configuration_models.BackendServer,
) -> bool:
    """Return whether a drain covers a server at its current share of the failure domain's slots."""
    if move.target == server.server_id:
        return True
    local = state.rollout.shares.get(move.move_id)
    if move.target != server.failure_domain or local is None:
        return False
    if local.share >= const.FULL_SHARE:
        return True
    return _cumulative_slot_share(state, server) <= local.share


def _cumulative_slot_share(
    state: core_state.State, server: configuration_models.BackendServer
) -> float:
    """Return the share of a service's slots on the servers of one failure domain up to this server.

    The servers are counted in the order of their ids, this one included.
    """
    found = find_server(state, server.server_id)
    configuration = state.configuration.current
    if found is None or configuration is None:
        return const.FULL_SHARE
    service_id, _ = found
    servers = configuration.services[service_id].backend_servers
    covered_slots = sum(
        other.slots
        for other in servers
        if other.failure_domain == server.failure_domain and other.server_id <= server.server_id
    )
    return covered_slots / sum(other.slots for other in servers)


def drained_servers(
    state: core_state.State, move: configuration_models.Move
) -> list[configuration_models.BackendServer]:
    """Return the servers that a drain targets by their id or by their failure domain."""
    configuration = state.configuration.current
    services = configuration.services if configuration else {}
    return [
        server
        for service in services.values()
        for server in service.backend_servers
        if move.target in {server.server_id, server.failure_domain}
    ]


def _find_move(
    state: core_state.State,
    moves: list[configuration_models.Move],
    old_version: str,
    move_state: models.MoveState,
) -> configuration_models.Move | None:
    """Return the first move from an old version with this recorded state, or ``None``."""
    return next(
        (
            move
            for move in moves
            if move.old_version == old_version and recorded_state(state, move.move_id) is move_state
        ),
        None,
    )


def _version_or_fallback(state: core_state.State, service_id: str, version: str) -> str:
    """Return a version, or the old version of its move if the version is rejected."""
    for move in all_moves(state):
        if move.service_id == service_id and move.target == version:
            if is_rejected(state, service_id, version):
                return move.old_version
    return version
