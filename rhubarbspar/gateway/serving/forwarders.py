"""Choice of the instance through which an attempt is sent while the own links are lost.

Pattern: relay through a peer near the destination. The sending instance keeps every decision about
the request: account, retry budget, deadline, choice of the server and final response.
"""

import typing

from rhubarbspar.gateway import models
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.membership import fleet as gateway_fleet

# A peer that has failed to pass an attempt on is not used for this long.
FAILED_PEER_MS: typing.Final = 1000


def choose(
    state: gateway_state.State,
    pending: gateway_state.PendingRequest,
    server: models.BackendServer,
    now_ms: float,
) -> gateway_fleet.Peer | None:
    """Return the peer that passes an attempt on to a server, or ``None`` to send it directly."""
    if state.links.are_up:
        return None
    region = state.network.regions.get(server.failure_domain, '')
    usable = [
        peer
        for peer in state.fleet.live_peers(now_ms)
        if _is_usable(peer, now_ms) and _is_permitted(peer.member.region, region, pending)
    ]

    def rank(peer: gateway_fleet.Peer) -> tuple[bool, bool, int, float]:  # noqa: WPS430
        member = peer.member
        return (
            member.failure_domain != server.failure_domain,
            member.region != region,
            peer.forwards_running,
            peer.forwarded_ms,
        )

    return min(usable, key=rank, default=None)


def _is_usable(peer: gateway_fleet.Peer, now_ms: float) -> bool:
    if peer.leaving or peer.links_lost or not peer.member.forward_address:
        return False
    return now_ms - peer.forward_failed_ms > FAILED_PEER_MS


def _is_permitted(
    peer_region: str, server_region: str, pending: gateway_state.PendingRequest
) -> bool:
    """Return whether the content of a request may pass through a region.

    The region of the server is always permitted, another one only without home regions or as one
    of them.
    """
    if peer_region == server_region:
        return True
    account = pending.account
    account_regions = frozenset[str]() if account is None else account.home_regions
    return all(
        not home_regions or peer_region in home_regions
        for home_regions in (account_regions, pending.route.home_regions)
    )
