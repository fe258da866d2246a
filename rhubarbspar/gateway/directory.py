"""Which instances callers are to use.

Pattern: topology-aware client-side load balancing; an instance is named only while it is heard.
"""

import dataclasses
import typing

from rhubarbspar.gateway import const
from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state

# A caller can avoid an instance that has failed it only if it knows another one.
INSTANCES_MIN: typing.Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LookupAnswer:
    """The addresses of instances, and how long the answer may be kept."""

    caller_addresses: tuple[str, ...]
    ttl_ms: float


def find_instances(
    state: gateway_state.State, failure_domain: str, region: str, now_ms: float
) -> LookupAnswer:
    """Return the instances for callers in a failure domain of a region."""
    members = _usable(state, now_ms)
    in_region = [member for member in members if member.region == region]
    in_domain = [member for member in in_region if member.failure_domain == failure_domain]
    for group in (in_domain, in_region):
        if len(group) >= INSTANCES_MIN:
            return _answer(group)
    return _answer(in_region or members)


def _usable(state: gateway_state.State, now_ms: float) -> list[models.Member]:
    members = [
        peer.member
        for peer in state.fleet.live_peers(now_ms)
        if peer.heartbeat is not None and not peer.heartbeat.leaving
    ]
    if state.is_ready:
        members.append(state.fleet.own_member)
    return members


def _answer(members: list[models.Member]) -> LookupAnswer:
    addresses = sorted(member.caller_address for member in members)
    return LookupAnswer(tuple(addresses[: const.LOOKUP_INSTANCES_MAX]), const.LOOKUP_TTL_MS)
