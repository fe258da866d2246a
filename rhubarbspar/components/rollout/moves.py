"""Which versions and servers a configuration, its records and the verdicts allow."""

import dataclasses
from collections import abc

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import models
from rhubarbspar.components.rollout import records
from rhubarbspar.core import state as core_state


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveVersions:
    """The version in force for a service, and the move that tries a candidate."""

    version: str
    move: configuration_models.Move | None


def all_moves(state: core_state.State) -> list[configuration_models.Move]:
    """Return the configured moves in the order of their names."""
    configuration = state.configuration.current
    if configuration is None:
        return []
    return [move for _, move in sorted(configuration.moves.items())]


def moves_on_trial(state: core_state.State) -> abc.Iterator[configuration_models.Move]:
    """Return the version moves whose candidate is on trial."""
    for move in all_moves(state):
        if move.kind is not configuration_models.MoveKind.VERSION:
            continue
        on_trial = recorded_state(state, move.move_id) is models.MoveState.UNDER_WAY
        if on_trial and not is_rejected(state, move.service_id, move.target):
            yield move


def recorded_state(state: core_state.State, move_id: str) -> models.MoveState | None:
    """Return a move's recorded state, or ``None`` without a readable record."""
    known = state.rollout.records.get(move_id)
    if known is None or known.record is None:
        return None
    return known.record.state


def is_rejected(state: core_state.State, service_id: str, version: str) -> bool:
    """Tell whether a verdict excludes a version."""
    return models.VersionKey(service_id, version) in state.rollout.verdicts


def is_share_limited(state: core_state.State, service_id: str, version: str) -> bool:
    """Tell whether a version may only get what the share of its move allows."""
    if active_versions(state, service_id).version == version:
        return False
    return any(
        move.service_id == service_id
        and move.target == version
        and recorded_state(state, move.move_id) is not models.MoveState.DONE
        for move in all_moves(state)
    )


def active_versions(state: core_state.State, service_id: str) -> ActiveVersions:
    """Return the version that completed moves put in force, and its candidate.

    Raises
    ------
    KeyError
        If the service is not configured.
    """
    configuration = state.configuration.current
    if configuration is None:
        raise KeyError(service_id)
    open_moves = [
        move
        for move in all_moves(state)
        if move.service_id == service_id and not is_rejected(state, service_id, move.target)
    ]
    version = _not_bad(state, service_id, configuration.services[service_id].version)
    while True:
        completed = _first(state, open_moves, version, models.MoveState.DONE)
        if completed is None:
            break
        open_moves.remove(completed)
        version = completed.target
    return ActiveVersions(version, _first(state, open_moves, version, models.MoveState.UNDER_WAY))


def load_recorded_verdicts(state: core_state.State) -> None:
    """Take verdicts from the records of configured moves."""
    for move in all_moves(state):
        known = state.rollout.records.get(move.move_id)
        record = known.record if known else None
        if record is None or record.reason not in const.VERDICT_REASONS:
            continue
        key = models.VersionKey(move.service_id, move.target)
        verdict = models.Verdict(move.service_id, move.target, '', record.reason)
        state.rollout.verdicts.setdefault(key, verdict)


def update_local_shares(state: core_state.State, now_ms: float) -> None:
    """Follow the recorded shares: up in steps within the cap, down at once for a bad version.

    An instance that missed several steps takes them one by one, so that its own traffic does not shift
    beyond the cap either. Without fresh records it goes down by the same steps.
    """
    for move in all_moves(state):
        local = state.rollout.shares.get(move.move_id)
        allowed = allowed_share(state, move, now_ms)
        if local is not None:
            share = _followed(state, move, allowed, now_ms)
        elif recorded_state(state, move.move_id) is not None:
            share = allowed
        else:
            continue
        _set_share(state.rollout, move.move_id, share, now_ms)


def _set_share(rollout: models.RolloutState, move_id: str, share: float, now_ms: float) -> None:
    local = rollout.shares.get(move_id)
    if local is None or local.share != share:
        rollout.shares[move_id] = models.LocalShare(share, now_ms)


def _followed(
    state: core_state.State, move: configuration_models.Move, allowed: float, now_ms: float
) -> float:
    local = state.rollout.shares[move.move_id]
    if allowed <= local.share and not _steps_down(state, move, now_ms):
        return allowed
    if now_ms - local.changed_ms < const.STEP_INTERVAL_MS:
        return local.share
    if allowed <= local.share:
        return max(allowed, round(local.share - move.cap_share, const.SHARE_DIGITS))
    return min(allowed, next_share(move, local.share))


def _steps_down(state: core_state.State, move: configuration_models.Move, now_ms: float) -> bool:
    """Tell whether a share that is no longer allowed ends in steps: nothing shows a bad version.

    A process that was paused may have missed a verdict and served nobody meanwhile: it shifts at once.
    """
    if recorded_state(state, move.move_id) in {None, models.MoveState.TAKEN_BACK}:
        return False
    if is_rejected(state, move.service_id, move.target) or records.are_fresh(state, now_ms):
        return False
    return now_ms - state.rollout.last_tick_ms <= const.RECORDS_FRESH_MS


def next_share(move: configuration_models.Move, share: float) -> float:
    """Return the share after one step within the cap."""
    stepped = round(share + move.cap_share, const.SHARE_DIGITS)
    return min(const.FULL_SHARE, stepped)


def recorded_share(state: core_state.State, move: configuration_models.Move) -> float:
    """Return the share in a move's last known record, zero without a readable one."""
    known = state.rollout.records.get(move.move_id)
    return known.record.share if known and known.record else 0.0


def allowed_share(state: core_state.State, move: configuration_models.Move, now_ms: float) -> float:
    """Return the largest share that the move's record allows now."""
    known = state.rollout.records.get(move.move_id)
    if known is None or known.record is None:
        return 0.0
    if known.record.state is models.MoveState.TAKEN_BACK:
        return 0.0
    if move.kind is configuration_models.MoveKind.DRAIN:
        # Without fresh records a drain stays where it is: its servers may be about to be switched off.
        return known.record.share
    if is_rejected(state, move.service_id, move.target) or not records.are_fresh(state, now_ms):
        return 0.0
    if is_suspected(state, move):
        return _share_under_suspicion(move, known.record.share)
    return known.record.share


def is_suspected(state: core_state.State, move: configuration_models.Move) -> bool:
    """Tell whether the candidate has many faults, but too few old requests to compare them with."""
    return any(test.suspected for test in state.rollout.tests.get(move.move_id, {}).values())


def _share_under_suspicion(move: configuration_models.Move, share: float) -> float:
    """Return a share one step lower, which brings the old version requests for the comparison."""
    lower = round(share - move.cap_share, const.SHARE_DIGITS)
    return min(share, max(const.INITIAL_SHARE, lower))


def local_share(state: core_state.State, move: configuration_models.Move, now_ms: float) -> float:
    """Return the candidate share in force here, also if the process was paused since the last tick."""
    local = state.rollout.shares.get(move.move_id)
    if local is None:
        return 0.0
    allowed = allowed_share(state, move, now_ms)
    return min(local.share, _followed(state, move, allowed, now_ms))


def find_server(
    state: core_state.State, server_id: str
) -> tuple[str, configuration_models.BackendServer] | None:
    """Return a backend server with its service."""
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
    """Tell whether a drain that was not taken back has reached the server.

    A single backend server is drained at once. The servers of a failure domain are drained in the order
    of their ids, as far as the share of the move covers their share of the service's slots.
    """
    return any(
        _drains(state, move, server)
        for move in all_moves(state)
        if move.kind is configuration_models.MoveKind.DRAIN
        and recorded_state(state, move.move_id) is not models.MoveState.TAKEN_BACK
    )


def _drains(
    state: core_state.State,
    move: configuration_models.Move,
    server: configuration_models.BackendServer,
) -> bool:
    if move.target == server.server_id:
        return True
    local = state.rollout.shares.get(move.move_id)
    if move.target != server.failure_domain or local is None:
        return False
    if local.share >= const.FULL_SHARE:
        return True
    return _slot_share_up_to(state, server) <= local.share


def _slot_share_up_to(state: core_state.State, server: configuration_models.BackendServer) -> float:
    """Return the share of a service's slots in a failure domain, up to a server in order of ids."""
    found = find_server(state, server.server_id)
    configuration = state.configuration.current
    if found is None or configuration is None:
        return const.FULL_SHARE
    service_id, _ = found
    servers = configuration.services[service_id].backend_servers
    covered = sum(
        other.slots
        for other in servers
        if other.failure_domain == server.failure_domain and other.server_id <= server.server_id
    )
    return covered / sum(other.slots for other in servers)


def drained_servers(
    state: core_state.State, move: configuration_models.Move
) -> list[configuration_models.BackendServer]:
    """Return the servers that a drain names."""
    configuration = state.configuration.current
    services = configuration.services if configuration else {}
    return [
        server
        for service in services.values()
        for server in service.backend_servers
        if move.target in {server.server_id, server.failure_domain}
    ]


def _first(
    state: core_state.State,
    candidates: list[configuration_models.Move],
    version: str,
    wanted: models.MoveState,
) -> configuration_models.Move | None:
    return next(
        (
            move
            for move in candidates
            if move.old_version == version and recorded_state(state, move.move_id) is wanted
        ),
        None,
    )


def _not_bad(state: core_state.State, service_id: str, version: str) -> str:
    for move in all_moves(state):
        if move.service_id == service_id and move.target == version:
            if is_rejected(state, service_id, version):
                return move.old_version
    return version
