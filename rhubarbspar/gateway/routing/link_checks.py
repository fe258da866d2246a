"""Checks of the links to the backend servers, and what follows from their loss.

Failures that come from lost links say nothing about the servers: they are forgotten, and attempts
are sent through other instances until a connection can be opened again.
"""

import typing

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.membership import gossip
from rhubarbspar.gateway.routing import server_links
from rhubarbspar.gateway.routing import servers

# A server is taken to be alive for this long after it has answered another instance.
HEARD_ELSEWHERE_MS: typing.Final = 3000
# Servers that are checked at the same time, in different failure domains if possible.
PROBES_MAX: typing.Final = 3
# Interval between checks while the links are lost.
PROBE_INTERVAL_MS: typing.Final = 500
# After a check that found the links up, further failures start no check for this long.
RECHECK_INTERVAL_MS: typing.Final = 1000


def note_failure(
    state: gateway_state.State, server_id: str, now_ms: float
) -> list[core_effects.Effect]:
    """Note that a direct attempt at a server has failed; check the links if several have."""
    links = state.links
    links.record_failure(server_id, now_ms)
    if not links.are_up:
        return []
    if now_ms - links.probed_ms < RECHECK_INTERVAL_MS:
        return []
    heard = _heard_elsewhere(state, now_ms)
    if not links.should_check(len(heard)):
        return []
    links.status = server_links.LinkStatus.SUSPECTED
    return _probe(state, _one_for_each_domain(heard)[:PROBES_MAX], now_ms)


def finish_probe(
    state: gateway_state.State, ended: events.ProbeEnded, now_ms: float
) -> list[core_effects.Effect]:
    """Apply the result of a check."""
    links = state.links
    if links.are_up:
        return []
    if ended.opened:
        was_lost = links.are_lost
        links.restore(now_ms)
        return _announce(state, 'server_links_restored', now_ms) if was_lost else []
    links.probed_ids.discard(ended.server_id)
    if links.probed_ids or links.are_lost:
        return []
    return _declare_lost(state, now_ms)


def tick(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Check regularly whether lost links are up again."""
    links = state.links
    if not links.are_lost or now_ms - links.probed_ms < PROBE_INTERVAL_MS:
        return []
    views = _heard_elsewhere(state, now_ms) or list(state.servers.views.values())
    others = [view for view in views if view.server.server_id != links.last_probed_id]
    return _probe(state, (others or views)[:1], now_ms)


def _declare_lost(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Forget the failures that came from the links, and tell the peers of the loss."""
    links = state.links
    links.status = server_links.LinkStatus.LOST
    for server_id in links.failed_ids:
        view = state.servers.views.get(server_id)
        if view is not None:
            view.forget_failures()
    for attempt in state.attempts.values():
        if attempt.forwarder is None:
            # It may hang until its deadline, while the server has long finished with it.
            attempt.release()
    return _announce(state, 'server_links_lost', now_ms)


def _announce(
    state: gateway_state.State, event_name: str, now_ms: float
) -> list[core_effects.Effect]:
    log_fields = (
        ('failed_servers', len(state.links.failed_ids)),
        ('servers_heard_by_peers', len(_heard_elsewhere(state, now_ms))),
    )
    log = core_effects.Log(event_name, log_fields)
    return [
        log,
        core_effects.Count(const.METRIC_SERVER_LINKS, event_name),
        *gossip.send_heartbeats(state, now_ms),
    ]


def _probe(
    state: gateway_state.State, views: list[servers.ServerView], now_ms: float
) -> list[core_effects.Effect]:
    """Return the effects that open a connection to each of some servers."""
    links = state.links
    links.probed_ms = now_ms
    outputs: list[core_effects.Effect] = []
    for view in views:
        links.probed_ids.add(view.server.server_id)
        links.last_probed_id = view.server.server_id
        timeout_ms = state.network.connect_timeout_ms(view.server.failure_domain)
        outputs.append(effects.ProbeServer(view.server, timeout_ms))
    return outputs


def _heard_elsewhere(state: gateway_state.State, now_ms: float) -> list[servers.ServerView]:
    """Return the servers that have answered other instances lately, the latest first."""
    heard = [
        view
        for view in state.servers.views.values()
        if now_ms - view.answered_elsewhere_ms <= HEARD_ELSEWHERE_MS
    ]
    return sorted(heard, key=lambda view: -view.answered_elsewhere_ms)


def _one_for_each_domain(views: list[servers.ServerView]) -> list[servers.ServerView]:
    """Return the first server of each failure domain, then the others."""
    seen_domains: set[str] = set()
    first: list[servers.ServerView] = []
    others: list[servers.ServerView] = []
    for view in views:
        domain = view.server.failure_domain
        (others if domain in seen_domains else first).append(view)
        seen_domains.add(domain)
    return first + others
