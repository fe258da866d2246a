"""Look-ups: the instances that callers should use.

Pattern: topology-aware client-side load balancing over the instances with recent heartbeats.
"""

import dataclasses
import typing

from rhubarbspar.gateway import const
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state

# A caller can avoid a failed instance only if it knows another one.
INSTANCES_MIN: typing.Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Caller addresses of instances, and how long the caller may cache them."""

    caller_addresses: tuple[str, ...]
    ttl_ms: float


def find_instances(
    state: gateway_state.State, failure_domain: str, region: str, now_ms: float
) -> LookupAnswer:
    """Return the instances for callers in a failure domain of a region.

    These are the instances of the failure domain if there are at least ``INSTANCES_MIN``, otherwise
    those of the region, otherwise all.
    """
    members = _usable_members(state, now_ms)
    in_region = [member for member in members if member.region == region]
    in_domain = [member for member in in_region if member.failure_domain == failure_domain]
    for group in (in_domain, in_region):
        if len(group) >= INSTANCES_MIN:
            return _make_answer(group)
    return _make_answer(in_region or members)


def _usable_members(state: gateway_state.State, now_ms: float) -> list[models.Member]:
    """Return the live instances that are not leaving, this one only if it is ready."""
    members = [peer.member for peer in state.fleet.live_peers(now_ms) if not peer.leaving]
    if state.is_ready:
        members.append(state.fleet.own_member)
    return members


def _make_answer(members: list[models.Member]) -> LookupAnswer:
    addresses = sorted(member.caller_address for member in members)
    return LookupAnswer(tuple(addresses[: const.LOOKUP_INSTANCES_MAX]), const.LOOKUP_TTL_MS)
