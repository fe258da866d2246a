"""``drain``: drain a server, failure domain or instance, or withdraw a drain."""

import argparse

from rhubarbspar.components.configuration import models
from rhubarbspar.operators import const
from rhubarbspar.operators import errors
from rhubarbspar.operators import snapshots
from rhubarbspar.operators.commands import arguments
from rhubarbspar.operators.commands import environment as environments
from rhubarbspar.operators.commands import move_changes


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    target = parser.add_mutually_exclusive_group(required=True)
    target.add_argument('--server', metavar='ID', help='drain a backend server')
    target.add_argument('--failure-domain', metavar='NAME', help='drain a failure domain')
    target.add_argument('--instance', metavar='ID', help='drain an instance')
    parser.add_argument(
        '--withdraw',
        action='store_true',
        help='withdraw the drain, so that the target receives requests again',
    )
    arguments.add_move(parser)
    arguments.add_settings(parser)


def run(parsed: argparse.Namespace, environment: environments.Environment) -> int:
    """Add a drain to the configuration or withdraw it."""
    target = parsed.server or parsed.failure_domain or parsed.instance
    if parsed.withdraw:
        move_changes.withdraw(
            environment,
            lambda configuration: _require_drain(configuration, target),
            'drain --withdraw',
        )
        return const.EXIT_DONE
    deadline_unix_s = arguments.check_deadline(parsed.deadline, environment.now_unix_s())
    base = snapshots.read(environment.store)
    _check_target(environment, base.require_configuration(), parsed)
    move = models.Move(
        move_id=move_changes.generate_id(f'drain-{target}'),
        kind=models.MoveKind.DRAIN,
        target=target,
        deadline_unix_s=deadline_unix_s,
        cap_share=parsed.cap_share,
    )
    move_changes.start(environment, base, move, 'drain')
    return const.EXIT_DONE


def _check_target(
    environment: environments.Environment,
    configuration: models.Configuration,
    parsed: argparse.Namespace,
) -> None:
    target = parsed.server or parsed.failure_domain or parsed.instance
    existing = _find_drain(configuration, target)
    if existing is not None:
        raise errors.InputError(f'move {existing.move_id} drains {target} already')
    if parsed.failure_domain:
        known = set(configuration.failure_domains)
    elif parsed.server:
        known = _server_ids(configuration)
    else:
        known = {instance.instance_id for instance in environment.fleet.instances()}
    if target not in known:
        raise errors.InputError(f'unknown drain target {target}')


def _server_ids(configuration: models.Configuration) -> set[str]:
    return {
        server.server_id
        for service in configuration.services.values()
        for server in service.backend_servers
    }


def _require_drain(configuration: models.Configuration, target: str) -> models.Move:
    move = _find_drain(configuration, target)
    if move is None:
        raise errors.InputError(f'no drain of {target} is planned')
    return move


def _find_drain(configuration: models.Configuration, target: str) -> models.Move | None:
    for move in configuration.moves.values():
        if move.kind == models.MoveKind.DRAIN and move.target == target:
            return move
    return None
