"""Apply the records of the store: configuration, backend servers, orders and members."""

import typing

from rhubarbspar import const as package_const
from rhubarbspar import exceptions
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway import servers
from rhubarbspar.gateway import state as gateway_state

# A service that declares no cold start has servers that are never cold.
_NO_COLD_MS: typing.Final = 0.0


def apply_records(
    state: gateway_state.State, records: tuple[events.RecordRead, ...], now_ms: float
) -> list[core_effects.Effect]:
    """Take changed records in the order of their revisions."""
    outputs: list[core_effects.Effect] = []
    for record in records:
        if record.content is None:
            outputs.extend(_remove(state, record, now_ms))
        else:
            outputs.extend(_read(state, record, record.content, now_ms))
    return outputs


def remove_lapsed_servers(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Remove the servers whose lapsed registration did not come back."""
    outputs: list[core_effects.Effect] = []
    for server_id in state.servers.expired_ids(now_ms):
        outputs.extend(_forget_server(state, server_id, 'lapsed'))
    return outputs


def _read(
    state: gateway_state.State, record: events.RecordRead, content: bytes, now_ms: float
) -> list[core_effects.Effect]:
    try:
        declared = state.decode(record.key, content, record.revision)
    except exceptions.RhubarbsparError as error:
        # The last record that could be read stays in force.
        return [
            core_effects.Log(
                'record_unreadable',
                (('key', record.key), ('revision', record.revision), ('error', str(error))),
            )
        ]
    if declared is None:
        return []
    state.declared.records[record.key] = declared
    return _take(state, declared, record, now_ms)


def _take(
    state: gateway_state.State,
    declared: gateway_state.Record,
    record: events.RecordRead,
    now_ms: float,
) -> list[core_effects.Effect]:
    match declared:
        case models.Configuration():
            return _take_configuration(state, declared, record.revision)
        case models.BackendServer():
            return _take_server(state, declared, record.revision, now_ms)
        case models.RolloutOrder():
            state.rollouts.apply_order(declared, now_ms)
            status = state.declared.rollout_statuses.get(declared.service_id)
            if status is not None:
                state.rollouts.apply_status(status)
        case models.RolloutStatus():
            state.declared.rollout_statuses[declared.service_id] = declared
            state.rollouts.apply_status(declared)
        case models.Evacuation(failure_domain):
            state.declared.evacuated_domains.add(failure_domain)
            state.declared.evacuation_epoch += 1
        case models.Member():
            state.fleet.register(declared)
    return [core_effects.Log('record_taken', (('key', record.key), ('revision', record.revision)))]


def _take_configuration(
    state: gateway_state.State, declared: models.Configuration, revision: int
) -> list[core_effects.Effect]:
    current = state.declared.configuration
    if current is not None and declared.version < current.version:
        return [
            core_effects.Log(
                'configuration_older',
                (('version', declared.version), ('current', current.version)),
            )
        ]
    state.declared.configuration = declared
    return [
        core_effects.Log(
            'configuration_taken', (('version', declared.version), ('revision', revision))
        )
    ]


def _take_server(
    state: gateway_state.State,
    declared: models.BackendServer,
    revision: int,
    now_ms: float,
) -> list[core_effects.Effect]:
    outputs: list[core_effects.Effect] = []
    if state.servers.declare(declared, now_ms):
        interval_ms = cold_interval_ms(state, declared.service_id, now_ms)
        view = state.servers.views[declared.server_id]
        view.stagger_pace(now_ms, interval_ms)
        outputs.append(effects.ForgetServer(declared.server_id))
    fields = (
        ('server', declared.server_id),
        ('service', declared.service_id),
        ('version', declared.version),
        ('draining', declared.draining),
        ('cold_ms', declared.cold_ms),
        ('revision', revision),
    )
    return [*outputs, core_effects.Log('server_declared', fields)]


def _remove(
    state: gateway_state.State, record: events.RecordRead, now_ms: float
) -> list[core_effects.Effect]:
    declared = state.declared.records.pop(record.key, None)
    match declared:
        case models.BackendServer(server_id=server_id):
            return _remove_server(state, server_id, now_ms)
        case models.Evacuation(failure_domain):
            state.declared.evacuated_domains.discard(failure_domain)
            state.declared.evacuation_epoch += 1
            _chill(state, failure_domain, now_ms)
        case models.RolloutOrder(service_id=service_id):
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
    view = state.servers.views.get(server_id)
    if view is None:
        return []
    settling_until_ms = state.replica.registration_grace_until_ms
    alive = now_ms - view.last_answer_ms < servers.RECENT_ANSWER_MS
    if now_ms < settling_until_ms and alive and not view.server.draining:
        state.servers.mark_lapsed(server_id, settling_until_ms + servers.LAPSE_MARGIN_MS)
        return [core_effects.Log('server_lapsed', (('server', server_id),))]
    return _forget_server(state, server_id, 'removed')


def _forget_server(
    state: gateway_state.State, server_id: str, reason: str
) -> list[core_effects.Effect]:
    state.servers.remove(server_id)
    fields = (('server', server_id), ('reason', reason))
    return [effects.ForgetServer(server_id), core_effects.Log('server_removed', fields)]


def _chill(state: gateway_state.State, failure_domain: str, now_ms: float) -> None:
    """Take the servers of an evacuated failure domain for cold: they have handled nothing."""
    configuration = state.declared.configuration
    for view in state.servers.views.values():
        if view.server.failure_domain != failure_domain:
            continue
        service_id = view.server.service_id
        service = None if configuration is None else configuration.services.get(service_id)
        cold_ms = _NO_COLD_MS if service is None else service.cold_ms
        view.cold_until_ms = max(view.cold_until_ms, now_ms + cold_ms)
        view.stagger_pace(now_ms, cold_interval_ms(state, service_id, now_ms))


def cold_interval_ms(state: gateway_state.State, service_id: str, now_ms: float) -> float:
    """Return the time between requests of one instance to a cold server.

    Pattern: the permitted rate is divided evenly among the instances that may send.
    """
    configuration = state.declared.configuration
    service = None if configuration is None else configuration.services.get(service_id)
    if service is None or service.cold_rate_per_s <= 0:
        return _NO_COLD_MS
    instances = 1 + len(state.fleet.peers)
    return instances / service.cold_rate_per_s * package_const.MS_PER_S
