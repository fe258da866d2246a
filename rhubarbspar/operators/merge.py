"""Merge a generated configuration with the one in the store.

Services, accounts, regions, links and client blocks are taken from the answers alone. Access keys
and moves are also changed by commands. Applying an older answers file therefore neither removes
those that commands added nor restores those that commands withdrew.
"""

import dataclasses
from collections import abc

from rhubarbspar.components.configuration import models
from rhubarbspar.operators import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawals:
    """Access keys and moves of the answers that commands have withdrawn."""

    key_digests: frozenset[str] = frozenset()
    move_ids: frozenset[str] = frozenset()


def merge(
    generated: models.Configuration,
    base: models.Configuration | None,
    withdrawn: Withdrawals,
) -> models.Configuration:
    """Return the configuration to write over ``base``.

    A move is omitted if its service already has the target version, or if its target is no longer
    declared.

    Raises
    ------
    errors.InputError
        If the answers reuse the id of a move of ``base`` for a different move, or a service would
        have two moves.
    """
    stored_keys = {} if base is None else base.access_keys
    keys = {
        digest: key
        for digest, key in {**stored_keys, **generated.access_keys}.items()
        if key.account_id in generated.client_accounts and digest not in withdrawn.key_digests
    }
    moves = _merge_moves(generated, base, withdrawn)
    _check_one_move_per_service(moves)
    return dataclasses.replace(generated, access_keys=keys, moves=moves)


def running_versions(service: models.Service) -> set[str]:
    """Return the versions that run on the backend servers of a service."""
    return {server.version for server in service.backend_servers}


def _merge_moves(
    generated: models.Configuration,
    base: models.Configuration | None,
    withdrawn: Withdrawals,
) -> dict[str, models.Move]:
    merged: dict[str, models.Move] = {}
    for stored in () if base is None else base.moves.values():
        _check_same_move(stored, generated.moves.get(stored.move_id, stored))
        if _is_target_declared(generated, stored, base):
            merged[stored.move_id] = stored
    merged.update(generated.moves)
    return {
        move_id: move
        for move_id, move in merged.items()
        if move_id not in withdrawn.move_ids and not _is_finished(generated, move)
    }


def _check_one_move_per_service(moves: abc.Mapping[str, models.Move]) -> None:
    move_id_by_service: dict[str, str] = {}
    for move_id, move in sorted(moves.items()):
        if move.kind != models.MoveKind.VERSION:
            continue
        other = move_id_by_service.setdefault(move.service_id, move_id)
        if other != move_id:
            raise errors.InputError(
                f'moves {other} and {move_id} are both of service {move.service_id}',
            )


def _check_same_move(stored: models.Move, declared: models.Move) -> None:
    if _identity(stored) != _identity(declared):
        raise errors.InputError(
            f'move {stored.move_id} is another move in the store; choose another id',
        )


def _identity(move: models.Move) -> tuple[str, ...]:
    return move.kind, move.service_id, move.old_version, move.target


def _is_finished(generated: models.Configuration, move: models.Move) -> bool:
    service = generated.services.get(move.service_id)
    return service is not None and service.version == move.target


def _is_target_declared(
    generated: models.Configuration,
    move: models.Move,
    base: models.Configuration | None,
) -> bool:
    if move.kind == models.MoveKind.VERSION:
        service = generated.services.get(move.service_id)
        return service is not None and move.target in running_versions(service)
    # A drain may target an instance. Configurations don't declare instances, so a drain is dropped
    # only if its target was declared before and no longer is.
    declared_before = set() if base is None else _drain_targets(base)
    return move.target not in declared_before - _drain_targets(generated)


def _drain_targets(configuration: models.Configuration) -> set[str]:
    servers = {
        server.server_id
        for service in configuration.services.values()
        for server in service.backend_servers
    }
    return servers | configuration.failure_domains.keys()
