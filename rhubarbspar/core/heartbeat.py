"""Build this instance's heartbeats from the sections that the components provide."""

import math
from collections import abc

from rhubarbspar.components.claims import reducer as claims_reducer
from rhubarbspar.components.idempotency import reducer as idempotency_reducer
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.components.membership import sections
from rhubarbspar.components.rollout import reducer as rollout_reducer
from rhubarbspar.components.routing import reducer as routing_reducer
from rhubarbspar.core import state as core_state


def compose(state: core_state.State, peer_id: str, now_ms: float) -> membership_models.Heartbeat:
    """Return the heartbeat for one peer, with the sections that the peer has not acknowledged.

    Parameters
    ----------
    state
        State of this instance; the sections sent to the peer are recorded in it.
    peer_id
        The receiver, which must be a known peer.
    now_ms
        Monotonic time at which the heartbeat is sent.
    """
    peer = state.membership.peers[peer_id]
    configuration = state.configuration
    selector = sections.SectionSelector(peer.sent, float(math.floor(now_ms)))
    own_servers = _owned_servers(state, now_ms)
    incarnation = state.membership.incarnation
    sender = selector.unacknowledged('sender', state.membership.own)
    # Slot counts without server ids refer to the server ids that the peer has acknowledged.
    server_ids = selector.unacknowledged(
        'owned_servers', tuple(server.server_id for server in own_servers)
    )
    slots = selector.unacknowledged('slots', tuple(_slot_counts(own_servers)))
    heartbeat = membership_models.Heartbeat(
        sent_ms=selector.sent_ms,
        echo_sent_ms=peer.last_heartbeat_sent_ms,
        echo_age_ms=None
        if peer.last_heartbeat_sent_ms is None
        else float(math.floor(now_ms - peer.last_heartbeat_ms)),
        incarnation=incarnation if sender else sections.short_incarnation(incarnation),
        revision=configuration.current.revision if configuration.current else 0,
        confirmed_age_ms=_age_ms(configuration.confirmed_ms, now_ms),
        store_reached_age_ms=_age_ms(configuration.store_reached_ms, now_ms),
        attested_age_ms=_age_ms(configuration.attested_ms, now_ms),
        sender=sender,
        status=selector.unacknowledged('status', state.membership.status),
        slots=slots if server_ids is None else None,
        owned_servers=None if server_ids is None else own_servers,
        statistics=selector.unacknowledged('statistics', rollout_reducer.statistics(state)),
        adopted=selector.unacknowledged('adopted', idempotency_reducer.adopted_incarnations(state)),
        known_peers=selector.unacknowledged(
            'known_peers', membership_reducer.reported_peers(state, now_ms)
        ),
    )
    peer.sent.sent_ms = selector.sent_ms
    return heartbeat


def _age_ms(moment_ms: float, now_ms: float) -> float | None:
    """Return the time since a moment, rounded up, or ``None`` if the moment is not finite."""
    return float(math.ceil(now_ms - moment_ms)) if math.isfinite(moment_ms) else None


def _slot_counts(servers: abc.Iterable[membership_models.OwnedServer]) -> abc.Iterator[int]:
    for server in servers:
        yield from (server.free_slots, server.queued, server.busy_slots)


def _owned_servers(
    state: core_state.State,
    now_ms: float,
) -> tuple[membership_models.OwnedServer, ...]:
    # Servers that are still claimed or busy are listed too, with no free slots. An instance that
    # takes over a claim treats a server missing from this list as no longer used by this instance.
    server_ids = {*claims_reducer.owned_server_ids(state, now_ms), *state.routing.servers}
    return tuple(
        routing_reducer.owned_server_report(state, server_id, now_ms)
        for server_id in sorted(server_ids)
    )
