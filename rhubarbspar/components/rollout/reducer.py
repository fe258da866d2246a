"""Step moves, judge versions, keep verdicts."""

import math
from collections import abc

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.rollout import analysis
from rhubarbspar.components.rollout import const
from rhubarbspar.components.rollout import controller
from rhubarbspar.components.rollout import latencies
from rhubarbspar.components.rollout import models
from rhubarbspar.components.rollout import moves
from rhubarbspar.components.rollout import records
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state
from rhubarbspar.helpers import quota


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Handle one event."""
    outputs = _handle(state, event, now_ms)
    if isinstance(event, (events.Tick, events.StoreAnswered)):
        state.rollout.slot_limits.clear()
    return outputs


def _handle(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    match event:
        case events.Tick():
            return _tick(state, now_ms)
        case events.StoreAnswered(tag=const.TAG_READ):
            records.apply_read_result(state, event, now_ms)
            moves.load_recorded_verdicts(state)
            moves.update_local_shares(state, now_ms)
        case events.StoreAnswered(tag=tag) if tag.startswith(const.TAG_WRITE_PREFIX):
            outputs = records.apply_write_result(state, event, now_ms)
            moves.update_local_shares(state, now_ms)
            return outputs
        case events.PeerConnected(peer_id):
            return [
                effects.SendMessage(peer_id, verdict) for verdict in state.rollout.verdicts.values()
            ]
        case events.MessageReceived(_, models.Verdict() as verdict):
            return _condemn(state, [verdict], now_ms)
        case events.MessageReceived(peer_id, models.LatencyReport() as report):
            latencies.record_peer_report(state.rollout, peer_id, report, now_ms)
    return []


def choose_version(
    state: core_state.State, service_id: str, path_prefix: str, now_ms: float
) -> str:
    """Choose the version for one request and count it against the candidate's quota.

    The quota is kept per route, so that a regular mix of routes cannot leave a route without a trial;
    the sum over routes keeps the bound as well.
    """
    versions = moves.active_versions(state, service_id)
    if versions.move is None:
        return versions.version
    share = min(
        moves.local_share(state, versions.move, now_ms),
        const.FULL_SHARE - min(const.CONTROL_SHARE, versions.move.cap_share),
    )
    quotas = state.rollout.quotas
    route = models.RouteKey(service_id, path_prefix)
    route_quota = quotas.get(route)
    if route_quota is None or route_quota.share != share:
        route_quota = quota.StrictQuota(share)
        quotas[route] = route_quota
    return versions.move.target if route_quota.take() else versions.version


def candidate_slots(
    state: core_state.State, service_id: str, version: str
) -> abc.Mapping[str, int]:
    """Return how many slots of each backend server of a version may be used.

    A candidate gets ``max(1, floor(share * slots of the service))`` slots in the order of server ids,
    none while its share is zero. A bad version gets none; other versions get all their slots.
    """
    configuration = state.configuration.current
    if configuration is None:
        return {}
    servers = configuration.services[service_id].backend_servers
    remaining = _slot_limit(state, service_id, version, sum(server.slots for server in servers))
    usable: dict[str, int] = {}
    for server in sorted(servers, key=lambda candidate: candidate.server_id):
        if server.version != version or not _accepts(state, service_id, server):
            continue
        usable[server.server_id] = min(server.slots, remaining)
        remaining -= usable[server.server_id]
    return usable


def allowed_slots(state: core_state.State, server_id: str) -> int:
    """Return how many slots of a backend server its version may use; all but for a candidate."""
    found = moves.find_server(state, server_id)
    if found is None:
        return 0
    service_id, server = found
    limits = _slot_limits(state, models.VersionKey(service_id, server.version))
    return server.slots if limits is None else limits.get(server_id, 0)


def _slot_limits(state: core_state.State, key: models.VersionKey) -> abc.Mapping[str, int] | None:
    """Return the slots of a candidate's servers, or ``None`` for any other version."""
    rollout = state.rollout
    if rollout.slot_limits_configuration is not state.configuration.current:
        rollout.slot_limits_configuration = state.configuration.current
        rollout.slot_limits.clear()
    if key not in rollout.slot_limits:
        on_probation = moves.is_share_limited(state, key.service_id, key.version)
        rollout.slot_limits[key] = (
            candidate_slots(state, key.service_id, key.version) if on_probation else None
        )
    return rollout.slot_limits[key]


def observe(
    state: core_state.State,
    service_id: str,
    version: str,
    path_prefix: str,
    failed: bool,
    latency_ms: float,
    now_ms: float,
) -> list[effects.Effect]:
    """Record one finished attempt; may find a version bad at once.

    The caller leaves out an attempt whose request had already killed a server of another version: such
    a death does not blame this version.
    """
    key = models.StatisticsKey(service_id, version, path_prefix)
    verdicts = analysis.record_request(state, key, failed, latency_ms, now_ms)
    return _condemn(state, verdicts, now_ms)


def accepts_work(state: core_state.State, server_id: str, now_ms: float) -> bool:
    """Tell whether a backend server may get new work: not leaving, draining or of a bad version."""
    found = moves.find_server(state, server_id)
    if found is None:
        return False
    service_id, server = found
    return _accepts(state, service_id, server)


def drains_instance(state: core_state.State, instance_id: str) -> bool:
    """Tell whether a drain that was not taken back names an entry instance."""
    return any(
        move.target == instance_id
        for move in moves.all_moves(state)
        if move.kind is configuration_models.MoveKind.DRAIN
        and moves.recorded_state(state, move.move_id) is not models.MoveState.TAKEN_BACK
    )


def statistics(state: core_state.State) -> tuple[membership_models.VersionStatistics, ...]:
    """Return this instance's statistics for its heartbeat."""
    return analysis.own_statistics(state)


def _tick(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    outputs = records.read_if_due(state, now_ms)
    outputs += _condemn(state, analysis.merge_peer_statistics(state, now_ms), now_ms)
    analysis.remove_finished(state)
    moves.load_recorded_verdicts(state)
    moves.update_local_shares(state, now_ms)
    state.rollout.last_tick_ms = now_ms
    outputs += _repeat_verdicts(state, now_ms)
    outputs += _report_latencies(state, now_ms)
    outputs += controller.advance_moves(state, now_ms)
    return outputs


def _condemn(
    state: core_state.State, verdicts: abc.Iterable[models.Verdict], now_ms: float
) -> list[effects.Effect]:
    outputs: list[effects.Effect] = []
    for verdict in verdicts:
        key = models.VersionKey(verdict.service_id, verdict.version)
        if key in state.rollout.verdicts or verdict.reason not in const.VERDICT_REASONS:
            continue
        state.rollout.verdicts[key] = verdict
        state.rollout.slot_limits.clear()
        fields = (
            ('service', verdict.service_id),
            ('version', verdict.version),
            ('route', verdict.path_prefix),
            ('reason', verdict.reason),
        )
        outputs += [effects.Log('version_bad', fields), effects.Broadcast(verdict)]
    if outputs:
        moves.update_local_shares(state, now_ms)
        outputs += controller.advance_moves(state, now_ms)
    return outputs


def _repeat_verdicts(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    rollout = state.rollout
    if now_ms - rollout.verdicts_repeated_ms < const.VERDICT_REPEAT_MS:
        return []
    rollout.verdicts_repeated_ms = now_ms
    stored = {
        models.VersionKey(known.record.service_id, known.record.version)
        for known in rollout.records.values()
        if known.record is not None and known.record.reason in const.VERDICT_REASONS
    }
    return [
        effects.Broadcast(verdict) for key, verdict in rollout.verdicts.items() if key not in stored
    ]


def _report_latencies(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    rollout = state.rollout
    if now_ms - rollout.latencies_reported_ms < const.LATENCY_REPORT_INTERVAL_MS:
        return []
    rollout.latencies_reported_ms = now_ms
    report = latencies.build_report(rollout)
    return [effects.Broadcast(report)] if report.latencies else []


def _slot_limit(state: core_state.State, service_id: str, version: str, slots: int) -> int:
    if not moves.is_share_limited(state, service_id, version):
        return slots
    versions = moves.active_versions(state, service_id)
    if versions.move is None or versions.move.target != version:
        return 0
    local = state.rollout.shares.get(versions.move.move_id)
    if local is None or local.share <= 0:
        return 0
    return max(1, math.floor(local.share * slots))


def _accepts(
    state: core_state.State, service_id: str, server: configuration_models.BackendServer
) -> bool:
    if server.leaving or moves.is_rejected(state, service_id, server.version):
        return False
    return not moves.is_drained(state, server)
