"""Choose which instance should hold each claim, by rendezvous hashing over the live instances."""

from rhubarbspar.components.claims import const
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import state as core_state
from rhubarbspar.helpers import rendezvous


def find_server(
    state: core_state.State,
    server_id: str,
) -> configuration_models.BackendServer | None:
    """Return a backend server of the current configuration, or ``None`` if it is not in it."""
    return _servers(state).get(server_id)


def preferred_holders(state: core_state.State, now_ms: float) -> dict[str, str]:
    """Return the preferred holder of every claim by its name, empty if there is no candidate.

    Only instances with a lease in the store are candidates: an instance that is live for its peers
    but cut off from the store could not take its claims. A backend server prefers an instance in
    its own failure domain, else in its region.
    """
    candidates = _candidates(state, now_ms)
    names = [f'{const.PREFIX_SHARE}{number}' for number in range(const.SHARE_COUNT)]
    preferred = {
        name: rendezvous.choose(name, candidates) or '' for name in (*names, const.CLAIM_MOVES)
    }
    nearest: dict[str, list[str]] = {}
    for server in _servers(state).values():
        domain = server.failure_domain
        if domain not in nearest:
            nearest[domain] = _nearest_candidates(state, candidates, domain)
        name = f'{const.PREFIX_SERVER}{server.server_id}'
        preferred[name] = rendezvous.choose(name, nearest[domain]) or ''
    return preferred


def _servers(state: core_state.State) -> dict[str, configuration_models.BackendServer]:
    """Return the backend servers by id, collected once per configuration."""
    configuration = state.configuration.current
    claims = state.claims
    if configuration is not claims.servers_configuration:
        claims.servers_configuration = configuration
        services = configuration.services.values() if configuration else ()
        claims.servers = {
            server.server_id: server for service in services for server in service.backend_servers
        }
    return claims.servers


def _candidates(state: core_state.State, now_ms: float) -> list[str]:
    """Return this instance and the live peers that have a lease in the store."""
    snapshot = state.claims.snapshot
    registered_ids = snapshot.registered_ids if snapshot else set()
    own_id = state.membership.own.instance_id
    return [
        instance_id
        for instance_id in membership_reducer.live_instance_ids(state, now_ms)
        if instance_id == own_id or instance_id in registered_ids
    ]


def _nearest_candidates(
    state: core_state.State, candidates: list[str], failure_domain: str
) -> list[str]:
    """Return the candidates in a failure domain, or those in its region if it has none."""
    domains = {candidate: _failure_domain_of(state, candidate) for candidate in candidates}
    inside = [candidate for candidate in candidates if domains[candidate] == failure_domain]
    if inside:
        return inside
    region = region_of(state, failure_domain)
    return [
        candidate
        for candidate in candidates
        if region and region_of(state, domains[candidate]) == region
    ]


def region_of(state: core_state.State, failure_domain: str) -> str:
    """Return the region of a failure domain, empty if the configuration does not have it."""
    configuration = state.configuration.current
    if configuration is None or failure_domain not in configuration.failure_domains:
        return ''
    return configuration.failure_domains[failure_domain].region


def region_of_instance(state: core_state.State, instance_id: str) -> str:
    """Return the region of this instance or a peer, empty if it is unknown."""
    return region_of(state, _failure_domain_of(state, instance_id))


def _failure_domain_of(state: core_state.State, instance_id: str) -> str:
    if instance_id == state.membership.own.instance_id:
        return state.membership.own.failure_domain
    peer = state.membership.peers.get(instance_id)
    return peer.known.failure_domain if peer else ''
