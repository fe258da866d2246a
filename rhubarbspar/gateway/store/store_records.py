"""Apply store records: configuration, backend servers, rollouts, evacuations and members."""

import dataclasses
import typing

from rhubarbspar import const as package_const
from rhubarbspar import exceptions
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.limits import server_limits
from rhubarbspar.gateway.routing import crash_checks
from rhubarbspar.gateway.routing import servers
from rhubarbspar.helpers import rendezvous

# Cold period of a service that declares none.
_NO_COLD_PERIOD_MS: typing.Final = 0.0


def apply_records(
    state: gateway_state.State, records: tuple[events.RecordRead, ...], now_ms: float
) -> list[core_effects.Effect]:
    """Apply changed records in the order of their revisions; return the resulting effects."""
    outputs = _report_ignored(state)
    outputs.extend(_forget_evicted(state, now_ms))
    for record in records:
        if record.content is None:
            state.replica.note_change(record)
            outputs.extend(_apply_deletion(state, record, now_ms))
        else:
            outputs.extend(_decode_and_apply(state, record, record.content, now_ms))
    return outputs


def remove_lapsed_servers(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Remove the servers whose lapsed registration was not renewed in time."""
    outputs: list[core_effects.Effect] = []
    for server_id in state.servers.expired_ids(now_ms):
        outputs.extend(_forget_server(state, server_id, 'lapsed'))
    return outputs


def _report_ignored(state: gateway_state.State) -> list[core_effects.Effect]:
    """Log the records for which the replica has no room."""
    count = state.replica.ignored_count
    if not count:
        return []
    state.replica.ignored_count = 0
    limit_bytes = state.replica.records.max_bytes
    return [core_effects.Log('records_ignored', (('count', count), ('limit_bytes', limit_bytes)))]


def _forget_evicted(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Undo the records that the replica has removed for lack of room."""
    outputs: list[core_effects.Effect] = []
    for record in state.replica.evicted:
        log_fields = (
            ('key', record.key),
            ('revision', record.revision),
            ('size_bytes', record.size_bytes),
            ('limit_bytes', state.replica.records.max_bytes),
        )
        outputs.append(core_effects.Log('record_evicted', log_fields))
        outputs.append(core_effects.Count(package_const.METRIC_EVENTS, 'record_evicted'))
        if record.key not in state.replica.records:
            outputs.extend(_forget_record(state, record.key, now_ms))
    state.replica.evicted.clear()
    return outputs


def _forget_record(
    state: gateway_state.State, key: str, now_ms: float
) -> list[core_effects.Effect]:
    """Undo the record of a key; only those of backend servers are evicted."""
    forgotten = state.declared.records.pop(key, None)
    if not isinstance(forgotten, models.BackendServer):
        return []
    if forgotten.server_id not in state.servers.views:
        return []
    ended = crash_checks.note_ended(state, forgotten, now_ms)
    return ended + _forget_server(state, forgotten.server_id, 'evicted')


def _decode_and_apply(
    state: gateway_state.State, record: events.RecordRead, content: bytes, now_ms: float
) -> list[core_effects.Effect]:
    try:
        decoded = state.decode(record.key, content, record.revision)
    except exceptions.RhubarbsparError as error:
        # The last readable record of the key stays in force.
        state.replica.note_unreadable(record)
        return [
            core_effects.Log(
                'record_unreadable',
                (('key', record.key), ('revision', record.revision), ('error', str(error))),
            )
        ]
    known = state.declared.records.get(record.key)
    if decoded is not None and _is_refresh(known, decoded):
        state.replica.note_refresh(record)
    else:
        state.replica.note_change(record)
    if decoded is None:
        return []
    state.declared.records[record.key] = decoded
    return _apply_record(state, decoded, record, now_ms)


def _is_refresh(known: gateway_state.Record | None, decoded: gateway_state.Record) -> bool:
    """Return whether a backend server has only written its registration again."""
    match known, decoded:
        case models.BackendServer(), models.BackendServer():
            return dataclasses.replace(known, sequence=decoded.sequence) == decoded
        case _:
            return False


def _apply_record(
    state: gateway_state.State,
    decoded: gateway_state.Record,
    record: events.RecordRead,
    now_ms: float,
) -> list[core_effects.Effect]:
    match decoded:
        case models.Configuration():
            return _apply_configuration(state, decoded, record.revision)
        case models.BackendServer():
            return _apply_server(state, decoded, record.revision, now_ms)
        case models.RolloutRequest():
            own_id = state.fleet.own_member.instance_id
            initial_credit = rendezvous.hash_fraction(f'{own_id}/{decoded.service_id}')
            state.rollouts.apply_request(decoded, now_ms, initial_credit)
            status = state.declared.rollout_statuses.get(decoded.service_id)
            if status is not None:
                state.rollouts.apply_status(status)
        case models.RolloutStatus():
            state.declared.rollout_statuses[decoded.service_id] = decoded
            state.rollouts.apply_status(decoded)
        case models.Evacuation(failure_domain):
            state.declared.evacuated_domains.add(failure_domain)
            state.declared.evacuation_epoch += 1
        case models.Member():
            state.fleet.register(decoded, now_ms)
    return [core_effects.Log('record_taken', (('key', record.key), ('revision', record.revision)))]


def _apply_configuration(
    state: gateway_state.State, configuration: models.Configuration, revision: int
) -> list[core_effects.Effect]:
    """Put a configuration in force, unless a newer version already is."""
    current = state.declared.configuration
    if current is not None and configuration.version < current.version:
        return [
            core_effects.Log(
                'configuration_older',
                (('version', configuration.version), ('current', current.version)),
            )
        ]
    state.declared.configuration = configuration
    return [
        core_effects.Log(
            'configuration_taken', (('version', configuration.version), ('revision', revision))
        )
    ]


def _apply_server(
    state: gateway_state.State,
    server: models.BackendServer,
    revision: int,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Store a server's declaration; for a new incarnation, drop the old pooled connections."""
    known = state.servers.views.get(server.server_id)
    outputs: list[core_effects.Effect] = []
    if state.servers.declare(server, now_ms):
        if known is not None:
            outputs.extend(crash_checks.note_ended(state, known.server, now_ms))
        server_limits.start_cold_share(state, state.servers.views[server.server_id], now_ms)
        outputs.append(effects.ForgetServer(server.server_id))
    log_fields = (
        ('server', server.server_id),
        ('service', server.service_id),
        ('version', server.version),
        ('draining', server.draining),
        ('cold_ms', server.cold_ms),
        ('revision', revision),
    )
    return [*outputs, core_effects.Log('server_declared', log_fields)]


def _apply_deletion(
    state: gateway_state.State, record: events.RecordRead, now_ms: float
) -> list[core_effects.Effect]:
    """Undo the record of a deleted key."""
    deleted = state.declared.records.pop(record.key, None)
    match deleted:
        case models.BackendServer(server_id=server_id):
            return _remove_server(state, server_id, now_ms)
        case models.Evacuation(failure_domain):
            state.declared.evacuated_domains.discard(failure_domain)
            state.declared.evacuation_epoch += 1
            _mark_domain_cold(state, failure_domain, now_ms)
        case models.RolloutRequest(service_id=service_id):
            state.rollouts.active.pop(service_id, None)
        case models.RolloutStatus(service_id=service_id):
            state.declared.rollout_statuses.pop(service_id, None)
        case models.Member(instance_id=instance_id):
            state.fleet.deregister(instance_id, now_ms)
        case _:
            return []
    return [
        core_effects.Log('record_removed', (('key', record.key), ('revision', record.revision)))
    ]


def _remove_server(
    state: gateway_state.State, server_id: str, now_ms: float
) -> list[core_effects.Effect]:
    """Remove a server whose registration was deleted.

    Shortly after a store outage, the lease may have lapsed although the server is alive. A server
    that answered any instance recently and is not draining then stays in use until the grace period
    ends.
    """
    view = state.servers.views.get(server_id)
    if view is None:
        return []
    grace_until_ms = state.replica.registration_grace_until_ms
    is_alive = now_ms - view.last_heard_ms < servers.RECENT_ANSWER_MS
    if now_ms < grace_until_ms and is_alive and not view.server.draining:
        state.servers.mark_lapsed(server_id, grace_until_ms + servers.LAPSE_MARGIN_MS)
        return [core_effects.Log('server_lapsed', (('server', server_id),))]
    ended = crash_checks.note_ended(state, view.server, now_ms)
    return ended + _forget_server(state, server_id, 'removed')


def _forget_server(
    state: gateway_state.State, server_id: str, reason: str
) -> list[core_effects.Effect]:
    state.servers.remove(server_id)
    log_fields = (('server', server_id), ('reason', reason))
    return [effects.ForgetServer(server_id), core_effects.Log('server_removed', log_fields)]


def _mark_domain_cold(state: gateway_state.State, failure_domain: str, now_ms: float) -> None:
    """Treat the servers of a formerly evacuated failure domain as cold: they got no requests."""
    configuration = state.declared.configuration
    for view in state.servers.views.values():
        if view.server.failure_domain != failure_domain:
            continue
        service_id = view.server.service_id
        service = None if configuration is None else configuration.services.get(service_id)
        cold_ms = _NO_COLD_PERIOD_MS if service is None else service.cold_ms
        view.cold_until_ms = max(view.cold_until_ms, now_ms + cold_ms)
        server_limits.start_cold_share(state, view, now_ms)
