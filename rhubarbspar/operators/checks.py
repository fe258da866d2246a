"""Validate references and constraints between answers; the schema validates single fields."""

import collections
import dataclasses
import datetime
import ipaddress
from collections import abc

from rhubarbspar.components.configuration import models
from rhubarbspar.helpers import jsonc
from rhubarbspar.operators import questionnaire

_DRAIN_TARGETS = ('failure_domain', 'instance_id', 'server_id')
_VERSION_FIELDS = ('new_version', 'old_version', 'service_id')


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidAnswer:
    """A validation problem: the key path of the answer and an error message."""

    key_path: jsonc.KeyPath
    message: str


def find_invalid_answers(
    answers: questionnaire.Answers,
    now_unix_s: float,
    base: models.Configuration | None,
) -> list[InvalidAnswer]:
    """Return every answer that contradicts another one, or whose deadline has passed.

    Parameters
    ----------
    answers
        Answers that passed the schema.
    now_unix_s
        Current time, against which deadlines are checked.
    base
        Current configuration, or ``None`` before the first. A move that it contains with the same
        deadline is accepted even if that deadline has passed.
    """
    return [
        *_check_regions(answers),
        *_check_links(answers),
        *_check_services(answers),
        *_check_servers(answers),
        *_check_access_keys(answers),
        *_check_client_blocks(answers),
        *_check_moves(answers),
        *_check_deadlines(answers, now_unix_s, base),
    ]


def _check_regions(answers: questionnaire.Answers) -> abc.Iterator[InvalidAnswer]:
    domain_entries = [
        (('regions', region, index), domain)
        for region, domains in answers.regions.items()
        for index, domain in enumerate(domains)
    ]
    yield from _duplicates(domain_entries, 'failure domain is listed twice')
    if answers.store_failure_domain not in _failure_domains(answers):
        yield InvalidAnswer(('store_failure_domain',), 'unknown failure domain')


def _check_links(answers: questionnaire.Answers) -> abc.Iterator[InvalidAnswer]:
    pairs = [
        (('links', index, 'between'), frozenset(link.between))
        for index, link in enumerate(answers.links)
    ]
    yield from _duplicates(pairs, 'regions have two links')
    for key_path, regions in pairs:
        for region in sorted(regions - answers.regions.keys()):
            yield InvalidAnswer(key_path, f'unknown region {region}')


def _check_services(answers: questionnaire.Answers) -> abc.Iterator[InvalidAnswer]:
    for service_id, service in answers.services.items():
        routes = [
            (('services', service_id, 'routes', index), (route.path_prefix.rstrip('/'), method))
            for index, route in enumerate(service.routes)
            for method in route.methods
        ]
        yield from _duplicates(routes, 'another route has the path prefix and a method of this one')
        if service.version not in _versions(service):
            message = 'no backend server runs the version of the service'
            yield InvalidAnswer(('services', service_id, 'version'), message)


def _check_servers(answers: questionnaire.Answers) -> abc.Iterator[InvalidAnswer]:
    yield from _check_placement(answers)
    placed = list(_placed_servers(answers))
    ids = [((*key_path, 'server_id'), server.server_id) for key_path, server in placed]
    addresses = [((*key_path, 'address'), server.address) for key_path, server in placed]
    yield from _duplicates(ids, 'backend server id is listed twice')
    yield from _duplicates(addresses, 'address of another backend server')
    domains = _failure_domains(answers)
    for id_path, server_id in ids:
        if server_id in domains:
            yield InvalidAnswer(id_path, 'a failure domain has the same name')


def _check_placement(answers: questionnaire.Answers) -> abc.Iterator[InvalidAnswer]:
    domains = _failure_domains(answers)
    for service_id, service in answers.services.items():
        for domain in sorted(service.backend_servers.keys() - domains):
            key_path = ('services', service_id, 'backend_servers', domain)
            yield InvalidAnswer(key_path, 'unknown failure domain')


def _check_access_keys(answers: questionnaire.Answers) -> abc.Iterator[InvalidAnswer]:
    digests = [
        (('access_keys', index, 'key_digest'), key.key_digest)
        for index, key in enumerate(answers.access_keys)
    ]
    yield from _duplicates(digests, 'access key is listed twice')
    for index, key in enumerate(answers.access_keys):
        if key.account_id not in answers.client_accounts:
            yield InvalidAnswer(('access_keys', index, 'account_id'), 'unknown client account')


def _check_client_blocks(answers: questionnaire.Answers) -> abc.Iterator[InvalidAnswer]:
    ranges: list[tuple[int, int, int]] = []
    for index, block in enumerate(answers.client_blocks):
        network = ipaddress.IPv4Network(block.network)
        ranges.append((int(network[0]), int(network[-1]), index))
        if block.region not in answers.regions:
            yield InvalidAnswer(('client_blocks', index, 'region'), 'unknown region')
    covered = -1
    for first, last, index in sorted(ranges):
        if first <= covered:
            yield InvalidAnswer(
                ('client_blocks', index, 'network'), 'overlaps another client block'
            )
        covered = max(covered, last)


def _check_moves(answers: questionnaire.Answers) -> abc.Iterator[InvalidAnswer]:
    for move_id, move in answers.moves.items():
        key_path = ('moves', move_id)
        unexpected = _DRAIN_TARGETS
        if move.kind == models.MoveKind.DRAIN:
            unexpected = _VERSION_FIELDS
            yield from _check_drain(answers, key_path, move)
        else:
            yield from _check_version_move(answers, key_path, move)
        for name in unexpected:
            if getattr(move, name):
                yield InvalidAnswer((*key_path, name), f'not a field of a move of kind {move.kind}')
    yield from _check_concurrent_moves(answers)


def _check_drain(
    answers: questionnaire.Answers,
    key_path: jsonc.KeyPath,
    move: questionnaire.MoveAnswer,
) -> abc.Iterator[InvalidAnswer]:
    if sum(bool(getattr(move, name)) for name in _DRAIN_TARGETS) != 1:
        names = ', '.join(_DRAIN_TARGETS)
        yield InvalidAnswer(key_path, f'give exactly one of {names}')
    if move.failure_domain and move.failure_domain not in _failure_domains(answers):
        yield InvalidAnswer((*key_path, 'failure_domain'), 'unknown failure domain')
    if move.server_id and move.server_id not in _server_ids(answers):
        yield InvalidAnswer((*key_path, 'server_id'), 'unknown backend server')


def _check_version_move(
    answers: questionnaire.Answers,
    key_path: jsonc.KeyPath,
    move: questionnaire.MoveAnswer,
) -> abc.Iterator[InvalidAnswer]:
    for name in _VERSION_FIELDS:
        if not getattr(move, name):
            yield InvalidAnswer(key_path, f'{name} is missing')
    if move.old_version == move.new_version:
        yield InvalidAnswer((*key_path, 'new_version'), 'same version as old_version')
    service = answers.services.get(move.service_id)
    if service is None:
        yield InvalidAnswer((*key_path, 'service_id'), 'unknown service')
        return
    if service.version not in {move.old_version, move.new_version}:
        yield InvalidAnswer((*key_path, 'old_version'), 'not the version of the service')
    if move.new_version not in _versions(service):
        yield InvalidAnswer((*key_path, 'new_version'), 'no backend server of the service runs it')


def _check_concurrent_moves(answers: questionnaire.Answers) -> abc.Iterator[InvalidAnswer]:
    unfinished = [
        (('moves', move_id, 'service_id'), move.service_id)
        for move_id, move in answers.moves.items()
        if move.service_id in answers.services
        and answers.services[move.service_id].version != move.new_version
    ]
    yield from _duplicates(unfinished, 'service has another move')


def _check_deadlines(
    answers: questionnaire.Answers,
    now_unix_s: float,
    base: models.Configuration | None,
) -> abc.Iterator[InvalidAnswer]:
    migration = answers.migration_deadline
    if base is None and migration.timestamp() <= now_unix_s:
        yield InvalidAnswer(('migration_deadline',), 'deadline is in the past')
    for move_id, move in answers.moves.items():
        key_path = ('moves', move_id, 'deadline')
        deadline = move.deadline or migration
        if deadline.timestamp() <= now_unix_s and not _has_unchanged_deadline(
            base, move_id, deadline
        ):
            yield InvalidAnswer(key_path, 'deadline is in the past')
        if move.kind == models.MoveKind.VERSION and deadline > migration:
            yield InvalidAnswer(key_path, 'deadline is after that of the migration')


def _has_unchanged_deadline(
    base: models.Configuration | None,
    move_id: str,
    deadline: datetime.datetime,
) -> bool:
    if base is None or move_id not in base.moves:
        return False
    return base.moves[move_id].deadline_unix_s == deadline.timestamp()


def _duplicates(
    entries: abc.Iterable[tuple[jsonc.KeyPath, object]],
    message: str,
) -> abc.Iterator[InvalidAnswer]:
    seen: collections.Counter[object] = collections.Counter()
    for key_path, identity in entries:
        seen[identity] += 1
        if seen[identity] > 1:
            yield InvalidAnswer(key_path, message)


def _failure_domains(answers: questionnaire.Answers) -> set[str]:
    return {domain for domains in answers.regions.values() for domain in domains}


def _versions(service: questionnaire.ServiceAnswer) -> set[str]:
    return {
        server.version or service.version
        for servers in service.backend_servers.values()
        for server in servers
    }


def _server_ids(answers: questionnaire.Answers) -> set[str]:
    return {server.server_id for _, server in _placed_servers(answers)}


def _placed_servers(
    answers: questionnaire.Answers,
) -> abc.Iterator[tuple[jsonc.KeyPath, questionnaire.BackendServerAnswer]]:
    for service_id, service in answers.services.items():
        for domain, servers in service.backend_servers.items():
            key_path = ('services', service_id, 'backend_servers', domain)
            for index, server in enumerate(servers):
                yield (*key_path, index), server
