"""Answer lookups: choose the instances to which a caller should send its requests."""

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
    """Answer a lookup; other events are ignored."""
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
    instances = _rank_instances(state, configuration, lookup, now_ms)
    leaving = state.membership.status == membership_models.InstanceStatus.LEAVING
    key_prefix = None if leaving else idempotency_reducer.key_prefix(state, now_ms)
    return effects.AnswerLookup(
        lookup.lookup_id,
        instances[: const.LOOKUP_INSTANCES_MAX],
        state.steering.lookup_ttl_ms,
        key_prefix,
    )


def _refuse(lookup: events.LookupReceived, reason: str) -> effects.AnswerLookup:
    return effects.AnswerLookup(lookup.lookup_id, (), 0, None, reason)


def _rank_instances(
    state: core_state.State,
    configuration: configuration_models.Configuration,
    lookup: events.LookupReceived,
    now_ms: float,
) -> tuple[effects.LookupInstance, ...]:
    """Return the live instances in the order in which the caller should use them.

    Instances in the caller's region come first, and among them the home of its account, which keeps
    the account's tokens. Rendezvous hashing spreads callers over the rest.
    """
    own_region = _region(configuration, state.membership.own.failure_domain)
    region = _client_region(state, configuration, lookup.client_address) or own_region
    live_ids = set(membership_reducer.live_instance_ids(state, now_ms))
    ranked_ids = rendezvous.rank(f'{lookup.service_id}/{lookup.client_address}', live_ids)
    home_id = _home_id(state, configuration, lookup, now_ms)
    ranked_peers = [_known_peer(state, instance_id) for instance_id in ranked_ids]
    instances = [
        effects.LookupInstance(
            peer.instance_id,
            peer.caller_address,
            _region(configuration, peer.failure_domain),
        )
        for peer in ranked_peers
    ]
    instances.sort(key=lambda each: (each.region != region, each.instance_id != home_id))
    return tuple(instances)


def _known_peer(state: core_state.State, instance_id: str) -> membership_models.KnownPeer:
    membership = state.membership
    if instance_id == membership.own.instance_id:
        return membership.own
    return membership.peers[instance_id].known


def _region(configuration: configuration_models.Configuration, failure_domain: str) -> str:
    """Return the region of a failure domain, or an empty string if the domain is unknown."""
    declared = configuration.failure_domains.get(failure_domain)
    return '' if declared is None else declared.region


def _home_id(
    state: core_state.State,
    configuration: configuration_models.Configuration,
    lookup: events.LookupReceived,
    now_ms: float,
) -> str:
    """Return the home instance of the caller's account, or an empty string without a known key."""
    access_key = configuration.access_keys.get(lookup.access_key_digest or '')
    return (
        ''
        if access_key is None
        else limits_reducer.home_instance_id(state, access_key.account_id, now_ms)
    )


def _client_region(
    state: core_state.State,
    configuration: configuration_models.Configuration,
    client_address: str,
) -> str:
    """Return the region of a client address, or an empty string if no block contains it."""
    steering = state.steering
    if steering.revision != configuration.revision:
        _update_block_map(steering, configuration)
    region_index = steering.blocks.lookup(client_address)
    return '' if region_index == block_map.NO_BLOCK else steering.regions[region_index]


def _update_block_map(
    steering: models.SteeringState,
    configuration: configuration_models.Configuration,
) -> None:
    """Compile the map again if the new revision changed blocks or regions; few revisions do."""
    steering.revision = configuration.revision
    domains = configuration.failure_domains.values()
    regions = tuple(sorted({domain.region for domain in domains}))
    if (regions, configuration.client_blocks) == (steering.regions, steering.compiled_blocks):
        return
    steering.regions = regions
    steering.compiled_blocks = configuration.client_blocks
    steering.blocks = _compile_block_map(configuration.client_blocks, regions)


def _compile_block_map(
    blocks: tuple[configuration_models.ClientBlock, ...],
    regions: tuple[str, ...],
) -> block_map.BlockMap:
    region_indexes = {region: index for index, region in enumerate(regions)}
    ranges = []
    for block in blocks:
        network = ipaddress.IPv4Network(block.network)
        first = int(network.network_address)
        last = int(network.broadcast_address)
        ranges.append((first, last, region_indexes[block.region]))
    return block_map.BlockMap.build(sorted(ranges))
