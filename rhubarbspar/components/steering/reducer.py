"""Answer look-ups: which instances a caller should use."""

import ipaddress

from rhubarbspar import const as package_const
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.idempotency import reducer as idempotency_reducer
from rhubarbspar.components.limits import reducer as limits_reducer
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.components.steering import const
from rhubarbspar.components.steering import models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state
from rhubarbspar.helpers import block_map
from rhubarbspar.helpers import rendezvous


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Handle one event."""
    match event:
        case events.LookupReceived():
            return [_answer(state, event, now_ms)]
        case _:
            return []


def _answer(
    state: core_state.State,
    lookup: events.LookupReceived,
    now_ms: float,
) -> effects.AnswerLookup:
    configuration = state.configuration.current
    if configuration is None:
        return _refuse(lookup, package_const.REASON_NO_CONFIGURATION)
    if lookup.service_id not in configuration.services:
        return _refuse(lookup, package_const.REASON_UNKNOWN_SERVICE)
    instances = _ranked(state, configuration, lookup, now_ms)
    leaving = state.membership.status == membership_models.InstanceStatus.LEAVING
    prefix = None if leaving else idempotency_reducer.key_prefix(state, now_ms)
    return effects.AnswerLookup(
        lookup.lookup_id,
        instances[: const.LOOKUP_INSTANCES_MAX],
        state.steering.lookup_ttl_ms,
        prefix,
    )


def _refuse(lookup: events.LookupReceived, reason: str) -> effects.AnswerLookup:
    return effects.AnswerLookup(lookup.lookup_id, (), 0, None, reason)


def _ranked(
    state: core_state.State,
    configuration: configuration_models.Configuration,
    lookup: events.LookupReceived,
    now_ms: float,
) -> tuple[effects.LookupInstance, ...]:
    """Return live instances: the caller's region first, there the home of its account first."""
    own_region = _region(configuration, state.membership.own.failure_domain)
    region = _client_region(state, configuration, lookup.client_address) or own_region
    live = set(membership_reducer.live_instance_ids(state, now_ms))
    ranked = rendezvous.rank(f'{lookup.service_id}/{lookup.client_address}', live)
    home = _home(state, configuration, lookup, now_ms)
    known = [_known(state, instance_id) for instance_id in ranked]
    answers = [
        effects.LookupInstance(
            entry.instance_id,
            entry.caller_address,
            _region(configuration, entry.failure_domain),
        )
        for entry in known
    ]
    answers.sort(key=lambda answer: (answer.region != region, answer.instance_id != home))
    return tuple(answers)


def _known(state: core_state.State, instance_id: str) -> membership_models.KnownPeer:
    membership = state.membership
    if instance_id == membership.own.instance_id:
        return membership.own
    return membership.peers[instance_id].known


def _region(configuration: configuration_models.Configuration, failure_domain: str) -> str:
    entry = configuration.failure_domains.get(failure_domain)
    return '' if entry is None else entry.region


def _home(
    state: core_state.State,
    configuration: configuration_models.Configuration,
    lookup: events.LookupReceived,
    now_ms: float,
) -> str:
    key = configuration.access_keys.get(lookup.access_key_digest or '')
    return '' if key is None else limits_reducer.home_of(state, key.account_id, now_ms)


def _client_region(
    state: core_state.State,
    configuration: configuration_models.Configuration,
    client_address: str,
) -> str:
    steering = state.steering
    if steering.revision != configuration.revision:
        _refresh(steering, configuration)
    number = steering.blocks.number_of(client_address)
    return '' if number == block_map.NO_BLOCK else steering.regions[number]


def _refresh(
    steering: models.SteeringState,
    configuration: configuration_models.Configuration,
) -> None:
    """Compile the map again if a new revision changed the blocks; few revisions do."""
    steering.revision = configuration.revision
    domains = configuration.failure_domains.values()
    regions = tuple(sorted({domain.region for domain in domains}))
    if (regions, configuration.client_blocks) == (steering.regions, steering.compiled_blocks):
        return
    steering.regions = regions
    steering.compiled_blocks = configuration.client_blocks
    steering.blocks = _compile(configuration.client_blocks, regions)


def _compile(
    blocks: tuple[configuration_models.ClientBlock, ...],
    regions: tuple[str, ...],
) -> block_map.BlockMap:
    numbers = {region: number for number, region in enumerate(regions)}
    ranges = []
    for block in blocks:
        network = ipaddress.IPv4Network(block.network)
        first = int(network.network_address)
        last = int(network.broadcast_address)
        ranges.append((first, last, numbers[block.region]))
    return block_map.BlockMap.build(sorted(ranges))
