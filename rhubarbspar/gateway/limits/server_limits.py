"""Rate limits of backend servers that all instances obey together.

A server names a limit in its responses, or its service declares one for cold servers.

Patterns: server-driven rate limiting; dissemination of the newest value by time stamp, with the
load reports; division among a few holders (``rate_shares``).
"""

import typing

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.limits import rate_shares
from rhubarbspar.gateway.membership import fleet
from rhubarbspar.gateway.routing import servers
from rhubarbspar.helpers import rendezvous

# Positions in the order of the holders are updated after this time.
UPDATE_INTERVAL_MS: typing.Final = 500


def record_limit(
    state: gateway_state.State,
    view: servers.ServerView,
    limit_per_s: float | None,
    reported_ms: float,
) -> list[core_effects.Effect]:
    """Record the limit that a server has named here or at a peer; log a change.

    Parameters
    ----------
    limit_per_s
        Requests a second from all instances together; ``None`` if the server named no limit.
    reported_ms
        When the response arrived.
    """
    previous_per_s = view.limit_per_s
    if limit_per_s is None:
        view.limit = None
    elif view.limit is None:
        position = _position(state, view, _present_ids(state, reported_ms))
        view.limit = rate_shares.RateShare(limit_per_s, position, reported_ms)
    else:
        view.limit.limit_per_s = limit_per_s
        view.limit.used_ms = max(view.limit.used_ms, reported_ms)
    if limit_per_s == previous_per_s:
        return []
    fields = (
        ('server', view.server.server_id),
        ('limit_per_s', limit_per_s),
        ('previous_per_s', previous_per_s),
        ('rank', None if view.limit is None else view.limit.position.rank),
        ('holders', None if view.limit is None else view.limit.holder_count),
    )
    return [core_effects.Log('server_limit_changed', fields)]


def start_cold_share(state: gateway_state.State, view: servers.ServerView, now_ms: float) -> None:
    """Begin to pace the requests to a server that has become cold."""
    rate_per_s = _cold_rate_per_s(state, view)
    if not rate_per_s:
        view.cold_share = None
        return
    position = _position(state, view, _present_ids(state, now_ms))
    view.cold_share = rate_shares.RateShare(rate_per_s, position, now_ms)


def update_positions(state: gateway_state.State, now_ms: float) -> None:
    """Update the position of this instance for each limited server as instances come and go."""
    if now_ms - state.limits_updated_ms < UPDATE_INTERVAL_MS:
        return
    state.limits_updated_ms = now_ms
    present_ids: frozenset[str] | None = None
    for view in state.servers.views.values():
        cold_share = view.cold_share if view.is_cold(now_ms) else None
        shares = [share for share in (view.limit, cold_share) if share is not None]
        if not shares:
            continue
        if present_ids is None:
            present_ids = _present_ids(state, now_ms)
        position = _position(state, view, present_ids)
        for share in shares:
            share.move(position, now_ms)
            share.used_ms = max(share.used_ms, view.reported_ms)


def known_limits(state: gateway_state.State, now_ms: float) -> tuple[messages.ServerLoad, ...]:
    """Return all known limits, for a peer that may have missed earlier reports."""
    return tuple(
        messages.ServerLoad(
            view.server.server_id,
            None,
            round(now_ms - view.limit_reported_ms),
            view.limit.limit_per_s,
        )
        for view in state.servers.views.values()
        if view.limit is not None
    )


def _cold_rate_per_s(state: gateway_state.State, view: servers.ServerView) -> float:
    """Return the rate that a cold server takes from all instances; 0 means no limit."""
    configuration = state.declared.configuration
    service_id = view.server.service_id
    service = None if configuration is None else configuration.services.get(service_id)
    return 0 if service is None else service.cold_rate_per_s


def _present_ids(state: gateway_state.State, now_ms: float) -> frozenset[str]:
    """Return the ids of the instances that may send requests to servers, this one included.

    A silent peer counts for some time: it may be cut off from this instance only.
    """
    present = [
        peer_id
        for peer_id, peer in state.fleet.peers.items()
        if not peer.leaving and peer.is_present(now_ms)
    ]
    return frozenset((state.fleet.own_member.instance_id, *present))


def _position(
    state: gateway_state.State, view: servers.ServerView, present_ids: frozenset[str]
) -> rate_shares.Position:
    """Return the position of this instance among the present ones.

    A stopping instance comes last: its callers are leaving.
    """
    if state.is_stopping:
        return rate_shares.Position(len(present_ids), len(present_ids))
    own_id = state.fleet.own_member.instance_id
    order = _holder_order(state, view)
    before = order[: order.index(own_id)]
    rank = sum(instance_id in present_ids for instance_id in before)
    return rate_shares.Position(rank, len(present_ids))


def _holder_order(state: gateway_state.State, view: servers.ServerView) -> tuple[str, ...]:
    """Return the instances in the order in which they hold the limit of a server; cached.

    Those in the region of the server come first.
    """
    server_id = view.server.server_id
    region = state.network.regions.get(view.server.failure_domain, '')
    key = fleet.HolderOrderKey(server_id, region)
    order = state.fleet.holder_orders.get(key)
    if order is None:
        peers = state.fleet.peers.values()
        members = (state.fleet.own_member, *(peer.member for peer in peers))
        near = [member.instance_id for member in members if member.region == region]
        far = [member.instance_id for member in members if member.region != region]
        order = (*rendezvous.rank(server_id, near), *rendezvous.rank(server_id, far))
        state.fleet.holder_orders[key] = order
    return order
