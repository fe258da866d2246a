"""Reject version changes that would bypass a move.

A move shifts traffic to another version in capped steps and records its progress. Applying answers
that change the version directly would shift all traffic in one step.
"""

from rhubarbspar.components.configuration import models
from rhubarbspar.operators import errors
from rhubarbspar.operators import move_records
from rhubarbspar.operators import store


def check_versions(
    operator_store: store.Store,
    base: models.Configuration | None,
    merged: models.Configuration,
) -> None:
    """Check the versions of the services and backend servers present in both configurations.

    Raises
    ------
    errors.InputError
        If a service changes to a version without a completed move to it, or a backend server
        changes its version under the same id.
    """
    if base is None:
        return
    for service_id in sorted(base.services.keys() & merged.services.keys()):
        _check_server_versions(base.services[service_id], merged.services[service_id])
        _check_service_version(operator_store, base, merged.services[service_id])


def _check_server_versions(before: models.Service, after: models.Service) -> None:
    known = {server.server_id: server.version for server in before.backend_servers}
    for server in after.backend_servers:
        version = known.get(server.server_id, server.version)
        if server.version != version:
            raise errors.InputError(
                f'backend server {server.server_id} changes from version {version} to '
                f'{server.version}: state its version, or give the new server another id',
            )


def _check_service_version(
    operator_store: store.Store,
    base: models.Configuration,
    after: models.Service,
) -> None:
    version = base.services[after.service_id].version
    if after.version == version:
        return
    move = _find_move(base, after)
    if move is None or not move_records.is_done(operator_store, move.move_id):
        raise errors.InputError(
            f'service {after.service_id} changes from version {version} to {after.version}: '
            'no move to it is done',
        )


def _find_move(configuration: models.Configuration, service: models.Service) -> models.Move | None:
    for move in configuration.moves.values():
        if move.service_id == service.service_id and move.target == service.version:
            return move
    return None
