"""Tests of validating answers and generating a configuration."""

import json
import pathlib
import re
import typing

import pytest

from rhubarbspar.components.configuration import models
from rhubarbspar.helpers import errors
from rhubarbspar.helpers import jsonc
from rhubarbspar.operators import generate
from rhubarbspar.operators import questionnaire
from tests.operators import conftest

_EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


def _set_answer(answers: dict[str, typing.Any], path: str, member: typing.Any) -> None:
    *parents, last = (int(part) if part.isdigit() else part for part in path.split('/'))
    parent: typing.Any = answers
    for part in parents:
        parent = parent[part]
    if isinstance(parent, list) and last == len(parent):
        parent.append(member)
    else:
        parent[last] = member


def _problems(
    answers: dict[str, typing.Any], base: models.Configuration | None = None
) -> list[str]:
    document = jsonc.parse(json.dumps(answers, indent=1), 'answers')
    with pytest.raises(errors.InvalidFileError) as caught:
        generate.generate(questionnaire.read(document), conftest.NOW_UNIX_S, base)
    problems = caught.value.problems
    return [f'{problem.key_path}: {problem.message}' for problem in problems]


def test_answers_are_converted_to_configuration(answers: dict[str, typing.Any]) -> None:
    """Guards against answers that are dropped or converted to a wrong unit."""
    generated = conftest.make_configuration(answers)
    assert generated.links == (
        models.Link('almaty', 'astana', 4_000_000_000),
        models.Link('astana', 'almaty', 4_000_000_000),
    )
    servers = generated.services['commissions'].backend_servers
    assert [(server.failure_domain, server.version) for server in servers] == [
        ('almaty-1', 'v1'),
        ('almaty-1', 'v2'),
        ('astana-1', 'v1'),
    ]
    assert generated.failure_domains['almaty-2'].region == 'almaty'
    assert generated.moves['leave'] == models.Move(
        'leave',
        models.MoveKind.DRAIN,
        'c-3',
        1_830_279_600.0,
        0.5,
    )


_SERVERS = 'services/commissions/backend_servers'
_VERSION_MOVE = {
    'kind': 'version',
    'service_id': 'commissions',
    'old_version': 'v1',
    'new_version': 'v2',
}


@pytest.mark.parametrize(
    ('path', 'member', 'fault'),
    [
        ('access_keys/0/account_id', 'nobody', 'access_keys[0].account_id: unknown client account'),
        ('access_keys/0/key_digest', 'A' * 64, 'access_keys[0].key_digest: expected 64 lower'),
        (
            'access_keys/1',
            {'key_digest': conftest.KEY_DIGEST, 'account_id': 'workshop'},
            'access_keys[1].key_digest: access key is listed twice',
        ),
        ('client_accounts/joiner/rate_per_s', 0, 'client_accounts.joiner.rate_per_s: expected a'),
        ('client_accounts/joiner/burst_requests', 0, 'client_accounts.joiner.burst_requests: '),
        ('client_blocks/0/region', 'mars', 'client_blocks[0].region: unknown region'),
        ('client_blocks/0/network', '192.0.2.1/24', 'client_blocks[0].network: expected an IPv4'),
        (
            'client_blocks/1',
            {'network': '192.0.2.128/25', 'region': 'astana'},
            'client_blocks[1].network: overlaps another client block',
        ),
        ('links/0/between', ['almaty', 'mars'], 'links[0].between: unknown region mars'),
        (
            'links/1',
            {'between': ['astana', 'almaty'], 'rate_mbit_per_s': 1},
            'links[1].between: regions have two links',
        ),
        (
            'migration_deadline',
            '2026-01-01T00:00:00Z',
            'migration_deadline: deadline is in the past',
        ),
        ('migration_deadline', '2028-01-01T00:00:00', 'migration_deadline: expected a time with'),
        ('moves/leave/cap_share', 0, 'moves.leave.cap_share: expected a share'),
        ('moves/leave/cap_share', 1.01, 'moves.leave.cap_share: expected a share'),
        ('moves/leave/server_id', 'c-9', 'moves.leave.server_id: unknown backend server'),
        ('moves/leave/instance_id', 'i', 'moves.leave: give exactly one of failure_domain, '),
        ('moves/leave/new_version', 'v2', 'moves.leave.new_version: not a field of a move of'),
        (
            'moves/leave/deadline',
            '2027-01-01T00:00:00Z',
            'moves.leave.deadline: deadline is in the',
        ),
        (
            'moves/new',
            {**_VERSION_MOVE, 'deadline': '2029-01-01T00:00:00Z'},
            'moves.new.deadline: deadline is after that of the migration',
        ),
        (
            'moves/new',
            {**_VERSION_MOVE, 'new_version': 'v9'},
            'moves.new.new_version: no backend server of the service runs it',
        ),
        (
            'moves/new',
            {**_VERSION_MOVE, 'service_id': 'bakery'},
            'moves.new.service_id: unknown service',
        ),
        ('regions/astana', ['almaty-1'], 'regions.astana[0]: failure domain is listed twice'),
        (_SERVERS, {}, 'services.commissions.version: no backend server'),
        (
            'services/commissions/routes/1',
            {
                'path_prefix': '/',
                'methods': ['GET', 'PUT'],
                'idempotent': True,
                'open_to_all': True,
                'timeout_ms': 1,
            },
            'services.commissions.routes[1]: another route has',
        ),
        (f'{_SERVERS}/almaty-1/0/slots', 0, 'slots: value must be at least 1'),
        (f'{_SERVERS}/almaty-1/0/slots', 1.5, 'slots: expected int'),
        (f'{_SERVERS}/almaty-1/1/server_id', 'c-1', '[1].server_id: backend server id is listed'),
        (f'{_SERVERS}/almaty-1/1/address', '127.0.0.1:9001', '[1].address: address of another'),
        (f'{_SERVERS}/almaty-1/1/server_id', 'astana-1', '[1].server_id: a failure domain has'),
        (f'{_SERVERS}/mars-1', [], 'backend_servers.mars-1: unknown failure domain'),
        ('store_failure_domain', 'mars-1', 'store_failure_domain: unknown failure domain'),
        ('services/v1', {}, 'services.v1: '),
        ('surprise', 1, 'surprise: extra keys not allowed'),
    ],
)
def test_invalid_answer_is_reported_with_its_key(
    answers: dict[str, typing.Any],
    path: str,
    member: typing.Any,
    fault: str,
) -> None:
    """Guards against invalid answers that are accepted, and errors that omit the key."""
    _set_answer(answers, path, member)
    assert fault in '\n'.join(_problems(answers))


def test_all_problems_are_reported_at_once(answers: dict[str, typing.Any]) -> None:
    """Guards against a check that stops at the first problem."""
    answers['store_failure_domain'] = 'mars-1'
    answers['client_blocks'][0]['region'] = 'mars'
    assert len(_problems(answers)) == 2


def test_known_move_may_pass_its_deadline(answers: dict[str, typing.Any]) -> None:
    """Guards against answers that cannot be edited once the deadline of a known move passed."""
    base = conftest.make_configuration(answers)
    document = jsonc.parse(json.dumps(answers), 'answers')
    late_unix_s = base.moves['leave'].deadline_unix_s + 1
    generate.generate(questionnaire.read(document), late_unix_s, base)
    answers['moves']['other'] = {'kind': 'drain', 'server_id': 'c-1'}
    document = jsonc.parse(json.dumps(answers), 'answers')
    with pytest.raises(errors.InvalidFileError, match=r'moves\.other\S*: deadline is in the past'):
        generate.generate(questionnaire.read(document), late_unix_s, base)


@pytest.mark.parametrize(
    ('name', 'slots', 'link_bits_per_s'),
    [
        ('guild', {'stockbook': 3, 'commissions': 3, 'ordertrack': 3}, 4_000_000_000),
        ('valdivieso', {'vitrina': 7, 'taller': 4, 'galeria-pruebas': 8}, 280_000_000),
    ],
)
def test_examples_match_the_design(
    name: str,
    slots: dict[str, int],
    link_bits_per_s: int,
) -> None:
    """Guards against examples that the questionnaire rejects or that differ from the design."""
    completed = questionnaire.load(_EXAMPLES / name / 'answers.jsonc')
    generated = generate.generate(completed, conftest.NOW_UNIX_S)
    assert len(generated.failure_domains) == 6
    assert len(generated.client_accounts) == 8
    assert {link.rate_bits_per_s for link in generated.links} == {link_bits_per_s}
    assert len(generated.links) == 6
    for service_id, expected in slots.items():
        servers = generated.services[service_id].backend_servers
        assert [server.slots for server in servers] == [expected] * 12
    routes = [route for service in generated.services.values() for route in service.routes]
    assert [route.methods for route in routes if not route.idempotent] == [('POST',)]
    assert re.fullmatch('almaty-1|north-1', generated.store_failure_domain)
