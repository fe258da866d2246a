"""``versions``: start or withdraw the move of a service to a new version."""

import argparse

from rhubarbspar.components.configuration import models
from rhubarbspar.operators import const
from rhubarbspar.operators import errors
from rhubarbspar.operators import merge
from rhubarbspar.operators import snapshots
from rhubarbspar.operators.commands import arguments
from rhubarbspar.operators.commands import environment as environments
from rhubarbspar.operators.commands import move_changes


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    actions = parser.add_subparsers(dest='action', required=True, metavar='ACTION')
    start_parser = actions.add_parser('start', help='start a move to a new version')
    arguments.add_move(start_parser)
    withdraw_parser = actions.add_parser('withdraw', help='withdraw a move that is not done')
    for action_parser in (start_parser, withdraw_parser):
        arguments.add_settings(action_parser)
        action_parser.add_argument('service', metavar='SERVICE', help='service of the move')
        action_parser.add_argument('version', metavar='VERSION', help='new version')


def run(parsed: argparse.Namespace, environment: environments.Environment) -> int:
    """Start or withdraw a version move, as the action says."""
    if parsed.action == 'start':
        _start(parsed, environment)
        return const.EXIT_DONE
    move_changes.withdraw(
        environment,
        lambda configuration: _require_move(configuration, parsed.service, parsed.version),
        'versions withdraw',
    )
    return const.EXIT_DONE


def _start(parsed: argparse.Namespace, environment: environments.Environment) -> None:
    deadline_unix_s = arguments.check_deadline(parsed.deadline, environment.now_unix_s())
    base = snapshots.read(environment.store)
    service = _check_start(base.require_configuration(), parsed.service, parsed.version)
    move = models.Move(
        move_id=move_changes.generate_id(f'{service.service_id}-{parsed.version}'),
        kind=models.MoveKind.VERSION,
        target=parsed.version,
        deadline_unix_s=deadline_unix_s,
        cap_share=parsed.cap_share,
        service_id=service.service_id,
        old_version=service.version,
    )
    move_changes.start(environment, base, move, 'versions start')


def _check_start(
    configuration: models.Configuration,
    service_id: str,
    version: str,
) -> models.Service:
    service = configuration.services.get(service_id)
    if service is None:
        raise errors.InputError(f'unknown service {service_id}')
    if service.version == version or version not in merge.running_versions(service):
        raise errors.InputError(
            f'{service_id} has version {service.version} and no backend servers of another '
            f'version {version}',
        )
    move = _find_move(configuration, service_id)
    if move is not None:
        raise errors.InputError(
            f'service {service_id} has the move {move.move_id}: withdraw it, or if it is done, '
            f'set the version of the service to {move.target} in the answers and apply them',
        )
    return service


def _require_move(
    configuration: models.Configuration,
    service_id: str,
    version: str,
) -> models.Move:
    move = _find_move(configuration, service_id)
    if move is None or move.target != version:
        raise errors.InputError(f'service {service_id} has no move to version {version}')
    return move


def _find_move(configuration: models.Configuration, service_id: str) -> models.Move | None:
    for move in configuration.moves.values():
        if move.kind == models.MoveKind.VERSION and move.service_id == service_id:
            return move
    return None
