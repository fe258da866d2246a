"""Initial state of an instance."""

import random
import time

from rhubarbspar import const as package_const
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import state as core_state
from rhubarbspar.server import settings as instance_settings


def create(
    settings: instance_settings.Settings,
    incarnation: str,
    now_ms: float,
) -> core_state.State:
    """Return the initial state of an instance, derived from its settings alone.

    Parameters
    ----------
    settings
        Validated settings of the instance.
    incarnation
        Identifier of this run of the process, new at every start.
    now_ms
        Monotonic time in milliseconds.
    """
    own = membership_models.KnownPeer(
        instance_id=settings.instance_id,
        failure_domain=settings.failure_domain,
        peer_address=settings.peer_address,
        caller_address=settings.caller_address,
    )
    state = core_state.State(membership=membership_models.MembershipState(own, incarnation))
    state.membership.seed_peers = tuple(
        membership_models.KnownPeer(
            seed.instance_id,
            seed.failure_domain,
            seed.peer_address,
            seed.caller_address,
        )
        for seed in settings.seed_peers
        if seed.instance_id != settings.instance_id
    )
    state.membership.generator = random.Random(incarnation)
    state.rollout.unix_offset_ms = time.time() * package_const.MS_PER_S - now_ms
    state.idempotency.fleet_key = settings.fleet_key.encode()
    state.steering.lookup_ttl_ms = settings.lookup_ttl_ms
    return state
