"""Bandwidth limits of the links between regions, in bits.

Each share of a link is delegated as a whole to one instance of the link's source region, because
only traffic that leaves that region uses the link.
"""

from collections import abc

from rhubarbspar.components.claims import preference
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.limits import const
from rhubarbspar.components.limits import models
from rhubarbspar.components.limits import pools
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import state as core_state
from rhubarbspar.helpers import rendezvous


def instance_ids_in(state: core_state.State, region: str, now_ms: float) -> list[str]:
    """Return the ids of the live instances of a region."""
    return [
        instance_id
        for instance_id in membership_reducer.live_instance_ids(state, now_ms)
        if preference.region_of_instance(state, instance_id) == region
    ]


def assigned_instance_id(region: str, share: int, instance_ids: list[str]) -> str | None:
    """Return the instance to which a share of the links that leave a region is to be delegated."""
    return rendezvous.choose(f'link/{region}/{share}', instance_ids)


def refilled_pools(
    state: core_state.State,
    now_ms: float,
) -> abc.Iterator[tuple[models.Pool, models.PoolLimit]]:
    """Yield the refilled pool and limit of each link that leaves this instance's region."""
    for link in _own_links(state):
        limit = _link_limit(link)
        pool = state.limits.link_pools.setdefault(link.target_region, models.Pool())
        pools.refill(pool, limit, now_ms)
        yield pool, limit


def take_bits(
    state: core_state.State,
    source_region: str,
    target_region: str,
    size_bits: int,
    now_ms: float,
) -> bool:
    """Take bits from a link's pool; return whether it had enough, or there is no such link."""
    link = _find_link(state, source_region, target_region)
    if link is None:
        return True
    pool = _refilled_pool(state, link, now_ms)
    if pool is None or pool.level < size_bits:
        return False
    pool.level -= size_bits
    return True


def return_bits(
    state: core_state.State,
    source_region: str,
    target_region: str,
    size_bits: int,
    now_ms: float,
) -> None:
    """Put unused bits back, up to the capacity of the pool."""
    link = _find_link(state, source_region, target_region)
    pool = _refilled_pool(state, link, now_ms) if link else None
    if link is not None and pool is not None:
        pool.level += max(0, size_bits)
        pools.clip(pool, _link_limit(link), now_ms)


def _own_links(state: core_state.State) -> list[configuration_models.Link]:
    configuration = state.configuration.current
    region = preference.region_of_instance(state, state.membership.own.instance_id)
    links = configuration.links if configuration else ()
    return [link for link in links if link.source_region == region]


def _find_link(
    state: core_state.State,
    source_region: str,
    target_region: str,
) -> configuration_models.Link | None:
    configuration = state.configuration.current
    for link in configuration.links if configuration else ():
        if (link.source_region, link.target_region) == (source_region, target_region):
            return link
    return None


def _refilled_pool(
    state: core_state.State,
    link: configuration_models.Link,
    now_ms: float,
) -> models.Pool | None:
    if link not in _own_links(state):
        return None
    pool = state.limits.link_pools.setdefault(link.target_region, models.Pool())
    pools.refill(pool, _link_limit(link), now_ms)
    return pool


def _link_limit(link: configuration_models.Link) -> models.PoolLimit:
    per_share = link.rate_bits_per_s / const.SHARE_COUNT
    return models.PoolLimit(
        capacity_per_share=const.LINK_BURST_S * per_share,
        refill_per_share_ms=per_share / const.MS_PER_S,
    )
