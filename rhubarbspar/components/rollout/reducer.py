"""Reducer and queries of the rollout component.

A rollout is a canary release: it shifts requests to a new version in steps, while sequential tests
compare its failures and latencies with the old version's. A verdict rejects the version on all
instances. A drain shifts the work away from servers that are to be removed.
"""

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
    """Advance moves, update statistics or record verdicts, depending on the event."""
    outputs = _dispatch(state, event, now_ms)
    if isinstance(event, (events.Tick, events.StoreAnswered)):
        state.rollout.slot_limits.clear()
    return outputs


def _dispatch(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
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
            return _record_verdicts(state, [verdict], now_ms)
        case events.MessageReceived(peer_id, models.LatencyReport() as report):
            latencies.record_peer_report(state.rollout, peer_id, report, now_ms)
    return []


def choose_version(
    state: core_state.State, service_id: str, path_prefix: str, now_ms: float
) -> str:
    """Choose the version for one request and count the request against the candidate's quota.

    There is a quota per route. With a single quota, a regular pattern of routes could keep a route
    from the candidate. Since every route keeps within the share, their sum does as well.
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
    """Return how many slots of each backend server a version may use.

    A candidate gets ``max(1, floor(share * slots of the service))`` slots in the order of server
    ids, and none while its share is zero. A rejected version gets none. Other versions get all
    their slots.
    """
    configuration = state.configuration.current
    if configuration is None:
        return {}
    servers = configuration.services[service_id].backend_servers
    remaining = _total_slot_limit(
        state, service_id, version, sum(server.slots for server in servers)
    )
    usable_slots: dict[str, int] = {}
    for server in sorted(servers, key=lambda candidate: candidate.server_id):
        if server.version != version or not _accepts(state, service_id, server):
            continue
        usable_slots[server.server_id] = min(server.slots, remaining)
        remaining -= usable_slots[server.server_id]
    return usable_slots


def allowed_slots(state: core_state.State, server_id: str) -> int:
    """Return how many slots of a backend server may be used: all, unless it runs a candidate."""
    found = moves.find_server(state, server_id)
    if found is None:
        return 0
    service_id, server = found
    limits = _cached_slot_limits(state, models.VersionKey(service_id, server.version))
    return server.slots if limits is None else limits.get(server_id, 0)


def _cached_slot_limits(
    state: core_state.State, key: models.VersionKey
) -> abc.Mapping[str, int] | None:
    """Return the usable slots of a candidate's servers, or ``None`` for any other version."""
    rollout = state.rollout
    if rollout.slot_limits_configuration is not state.configuration.current:
        rollout.slot_limits_configuration = state.configuration.current
        rollout.slot_limits.clear()
    if key not in rollout.slot_limits:
        is_limited = moves.is_share_limited(state, key.service_id, key.version)
        rollout.slot_limits[key] = (
            candidate_slots(state, key.service_id, key.version) if is_limited else None
        )
    return rollout.slot_limits[key]


def record_attempt(
    state: core_state.State,
    service_id: str,
    version: str,
    path_prefix: str,
    failed: bool,
    latency_ms: float,
    now_ms: float,
) -> list[effects.Effect]:
    """Count one finished attempt; a version that it shows to be bad is rejected at once.

    The caller must not report an attempt whose request had already crashed a server of another
    version, because the request and not this version caused the crash.
    """
    key = models.StatisticsKey(service_id, version, path_prefix)
    verdicts = analysis.record_request(state, key, failed, latency_ms, now_ms)
    return _record_verdicts(state, verdicts, now_ms)


def accepts_work(state: core_state.State, server_id: str, now_ms: float) -> bool:
    """Tell whether a backend server may get new work.

    It may not if it is unknown, leaving or drained, or if its version is rejected.
    """
    found = moves.find_server(state, server_id)
    if found is None:
        return False
    service_id, server = found
    return _accepts(state, service_id, server)


def drains_instance(state: core_state.State, instance_id: str) -> bool:
    """Tell whether a drain that was not rolled back targets an instance."""
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
    outputs += _record_verdicts(state, analysis.merge_peer_statistics(state, now_ms), now_ms)
    analysis.remove_finished(state)
    moves.load_recorded_verdicts(state)
    moves.update_local_shares(state, now_ms)
    state.rollout.last_tick_ms = now_ms
    outputs += _repeat_verdicts(state, now_ms)
    outputs += _report_latencies(state, now_ms)
    outputs += controller.advance_moves(state, now_ms)
    return outputs


def _record_verdicts(
    state: core_state.State, verdicts: abc.Iterable[models.Verdict], now_ms: float
) -> list[effects.Effect]:
    """Record and broadcast new verdicts, and take the rejected versions out of use at once."""
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
    """Broadcast the verdicts again, at an interval, that no record in the store holds yet."""
    rollout = state.rollout
    if now_ms - rollout.verdicts_repeated_ms < const.VERDICT_REPEAT_MS:
        return []
    rollout.verdicts_repeated_ms = now_ms
    recorded_keys = {
        models.VersionKey(cached.record.service_id, cached.record.version)
        for cached in rollout.records.values()
        if cached.record is not None and cached.record.reason in const.VERDICT_REASONS
    }
    return [
        effects.Broadcast(verdict)
        for key, verdict in rollout.verdicts.items()
        if key not in recorded_keys
    ]


def _report_latencies(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    rollout = state.rollout
    if now_ms - rollout.latencies_reported_ms < const.LATENCY_REPORT_INTERVAL_MS:
        return []
    rollout.latencies_reported_ms = now_ms
    report = latencies.build_report(rollout)
    return [effects.Broadcast(report)] if report.latencies else []


def _total_slot_limit(state: core_state.State, service_id: str, version: str, slots: int) -> int:
    """Return how many of a service's slots a version may use on all its servers together."""
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
