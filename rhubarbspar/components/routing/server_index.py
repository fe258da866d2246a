"""Index of the configured backend servers by id and by version."""

from rhubarbspar.components.routing import models
from rhubarbspar.core import state as core_state


def current(state: core_state.State) -> models.ServerIndex:
    """Return the index of the configuration in force, built once for each revision."""
    configuration = state.configuration.current
    index = state.routing.index
    if configuration is None or index.revision == configuration.revision:
        return index
    by_version: dict[tuple[str, str], list[str]] = {}
    rebuilt = models.ServerIndex(revision=configuration.revision)
    for service in configuration.services.values():
        for server in service.backend_servers:
            rebuilt.by_id[server.server_id] = models.ServerEntry(server, service.service_id)
            key = (service.service_id, server.version)
            by_version.setdefault(key, []).append(server.server_id)
    rebuilt.by_version = {key: tuple(ids) for key, ids in by_version.items()}
    state.routing.index = rebuilt
    return rebuilt
