"""Builds the initial state of a gateway from its settings."""

import secrets
import typing

from rhubarbspar.gateway import instance_limits
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway import settings as gateway_settings
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.limits import budget
from rhubarbspar.gateway.limits import descriptor_limits
from rhubarbspar.gateway.limits import memory_limits
from rhubarbspar.gateway.membership import fleet
from rhubarbspar.gateway.rollouts import rollout_schedule
from rhubarbspar.gateway.rollouts import rollouts
from rhubarbspar.gateway.routing import selection
from rhubarbspar.gateway.scheduling import scheduler as request_scheduler
from rhubarbspar.gateway.store import record_table
from rhubarbspar.gateway.store import store_replica
from rhubarbspar.gateway.usage import messages as usage_messages
from rhubarbspar.gateway.usage import models as usage_models
from rhubarbspar.gateway.usage import state as usage_state
from rhubarbspar.helpers import addresses
from rhubarbspar.http1 import memory
from rhubarbspar.peers import registry
from rhubarbspar.peers import transport
from rhubarbspar.platform import records

_INCARNATION_BYTES: typing.Final = 6


def create(
    settings: gateway_settings.Settings,
    member: models.Member,
    store_limits: memory_limits.StoreLimits,
) -> gateway_state.State:
    """Return the state of a gateway before its first event."""
    return gateway_state.State(
        decode=records.decode,
        bounds=gateway_state.Bounds(settings.bounds.stop_grace),
        fleet=fleet.Fleet(member),
        budget=budget.RetryBudget(budget_limits(settings)),
        network=selection.NetworkTopology(
            settings.failure_domain, settings.region, settings.regions
        ),
        replica=store_replica.StoreReplica(
            records=record_table.RecordTable(store_limits.records_max_bytes)
        ),
        rollouts=rollouts.Rollouts(exposure=exposure_limits(settings)),
        scheduler=request_scheduler.Scheduler(is_enabled=settings.scheduling),
        usage=_usage(settings, member),
    )


def _usage(
    settings: gateway_settings.Settings, member: models.Member
) -> usage_state.UsageState | None:
    """Return the state of the usage reports, if the deployment has them."""
    api = settings.usage_api
    if api is None:
        return None
    bounds = settings.bounds
    usage_settings = usage_models.UsageSettings(
        api.address, bounds.report_window, bounds.usage_late, bounds.lease_time, api.calls_per_s
    )
    return usage_state.create(usage_settings, member.instance_id, member.incarnation)


def exposure_limits(settings: gateway_settings.Settings) -> rollout_schedule.ExposureLimits:
    """Return the requests that a bad version may get."""
    bounds = settings.bounds
    return rollout_schedule.ExposureLimits(bounds.exposure_ratio, bounds.exposure_allowance)


def budget_limits(settings: gateway_settings.Settings) -> budget.BudgetLimits:
    """Return the limits of the retry budget."""
    bounds = settings.bounds
    return budget.BudgetLimits(bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window)


def make_budget(memory_mb: str) -> memory.MemoryBudget:
    """Return the budget of what the connections hold, from the memory of the process."""
    return memory_limits.make_budget(memory_mb)


def make_store_limits(
    settings: gateway_settings.Settings, process_budget: memory.MemoryBudget
) -> memory_limits.StoreLimits:
    """Return what the process takes from the store."""
    content_max_bytes = settings.bounds.store_content_bytes
    return memory_limits.make_store_limits(process_budget, content_max_bytes)


def make_limits(platform_limit: str, memory_mb: str) -> descriptor_limits.Limits:
    """Return the limits of the connections, from the descriptors and memory of the process."""
    return descriptor_limits.make_limits(
        platform_limit, memory_limits.make_receive_limits(memory_mb)
    )


def make_member(
    settings: gateway_settings.Settings, limits: instance_limits.InstanceLimits
) -> models.Member:
    """Return the registration of this instance under a new random incarnation."""
    return models.Member(
        settings.instance_id,
        secrets.token_hex(_INCARNATION_BYTES),
        settings.failure_domain,
        settings.region,
        settings.caller_address,
        settings.peer_address,
        settings.forward_address if settings.has_forward_port else '',
        limits.link_rate_mbit_per_s,
    )


def peer_message_types() -> registry.MessageTypes:
    """Return the messages that gateways exchange, by type name."""
    return registry.collect_message_types((messages, usage_messages))


def peer_settings(
    settings: gateway_settings.Settings, member: models.Member, fleet_key: bytes
) -> transport.TransportSettings:
    """Return the settings of the peer transport: identity, listening address and shared key."""
    host, port = addresses.split_host_port(settings.peer_address)
    return transport.TransportSettings(
        member.instance_id, member.incarnation, host, port, fleet_key
    )
