"""Prepare, watch and sum up a run of a whole deployment as plain processes.

``prepare`` writes the files that ``script/demo`` starts its processes with; ``ready`` waits until every
instance serves; ``summary`` adds up what callers and backend servers saw and exits with 1 if a promise was
broken.
"""

import argparse
import collections
import hashlib
import itertools
import json
import pathlib
import random
import secrets
import socket
import sys
import time
import typing
from collections import abc
from urllib import request as url_request

from rhubarbspar.helpers import jsonc

INSTANCE_SUFFIXES: typing.Final = ('ab', 'a', 'ab', 'a', 'ab', 'a')
LOCAL: typing.Final = '127.0.0.1'
READY_TIMEOUT_S: typing.Final = 40
POLL_INTERVAL_S: typing.Final = 0.3
REQUEST_TIMEOUT_S: typing.Final = 3
SERVICE_TIME_MS: typing.Final = 15
KEY_BYTES: typing.Final = 24
LOAD_SHARE: typing.Final = 0.5
RATE_MAX_PER_S: typing.Final = 20
POST_SHARE: typing.Final = 0.3
ENTRIES_PER_CALLER: typing.Final = 3
OPERATOR_FIELDS: typing.Final = ('store_url', 'instance_list_url', 'operator_key')
PORT_FIRST: typing.Final = 20_000
PORT_LAST: typing.Final = 32_000


def main() -> int:
    """Run one command."""
    parser = argparse.ArgumentParser(prog='python -m rhubarbspar.standins.demo')
    parser.add_argument('command', choices=('prepare', 'ready', 'summary'))
    parser.add_argument('folder', type=pathlib.Path)
    parser.add_argument('--answers', type=pathlib.Path)
    arguments = parser.parse_args()
    match arguments.command:
        case 'prepare':
            prepare(arguments.folder, arguments.answers)
            return 0
        case 'ready':
            return wait_until_ready(arguments.folder)
        case _:
            return sum_up(arguments.folder)


def prepare(folder: pathlib.Path, answers_path: pathlib.Path) -> None:
    """Write answers with free ports, settings of all instances and files for ``script/demo``."""
    answers = jsonc.load(answers_path).root
    ports = free_ports()
    servers = _place_servers(answers, ports)
    keys = _grant_keys(answers)
    platform = {name: next(ports) for name in ('store', 'list', 'control')}
    instances = _instances(answers, platform, ports)
    _write(folder / 'answers.jsonc', answers)
    _write(folder / 'operator.jsonc', {name: instances[0][name] for name in OPERATOR_FIELDS})
    _write(folder / 'servers.json', servers)
    _write(folder / 'instance_list.json', [_listed(instance) for instance in instances])
    for instance in instances:
        _write(folder / 'instances' / f'{instance["instance_id"]}.jsonc', instance)
    _write_callers(folder, answers, keys, instances)
    assigned = [f'{name}_port={port}' for name, port in platform.items()]
    (folder / 'ports.sh').write_text(_lines(assigned))


def wait_until_ready(folder: pathlib.Path) -> int:
    """Wait until all instances know the configuration, each other and an owner of every server."""
    servers = json.loads((folder / 'servers.json').read_text())
    settings = _settings(folder)
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        statuses = [_status(entry) for entry in settings]
        owned = sum(len(status['owned_servers']) for status in statuses if status)
        linked = all(status and len(status['peers']) == len(settings) - 1 for status in statuses)
        usable = all(status and status['keys_usable'] for status in statuses)
        if linked and usable and owned >= len(servers):
            return 0
        time.sleep(POLL_INTERVAL_S)
    sys.stderr.write('the instances are not ready:\n')
    for entry in settings:
        status = json.dumps(_status(entry))
        sys.stderr.write(f'{status}\n')
    return 1


def sum_up(folder: pathlib.Path) -> int:
    """Print the summary of a run; return 1 if a promise was broken."""
    callers = [_last_document(path) for path in sorted(folder.glob('caller-*.out'))]
    report = json.loads((folder / 'report.json').read_text())
    totals = {name: sum(caller.get(name, 0) for caller in callers) for name in _TOTALS}
    refused = _add_refusals(callers)
    run_twice = len(report.get('run_twice', {}).get('POST', ()))
    broken = {
        'run twice': run_twice,
        'lost': totals['lost'],
        'mixed up': totals['mixed_up'],
        'truncated': totals['truncated'],
        'outcome unknown': totals['unknown'],
        'access key seen by backend servers': report.get('authorization_requests', 0),
    }
    sys.stdout.write('  answered whole: {answered} of {started}\n'.format(**totals))
    reasons = refused or 'none'
    sys.stdout.write(f'  refused by reason: {reasons}\n')
    for name, count in broken.items():
        sys.stdout.write(f'  {name}: {count}\n')
    return 1 if any(broken.values()) or not totals['answered'] else 0


def _add_refusals(callers: list[dict[str, typing.Any]]) -> dict[str, int]:
    refused: collections.Counter[str] = collections.Counter()
    for caller in callers:
        refused.update(caller.get('refused', {}))
    return dict(refused)


_TOTALS: typing.Final = ('answered', 'lost', 'mixed_up', 'started', 'truncated', 'unknown')


def free_ports() -> abc.Iterator[int]:
    """Return ports that are free now, each once.

    They lie below the range that outgoing connections use, because one of those could take a port before
    its process listens on it.
    """
    return filter(_is_free, _shuffled_ports())


def _shuffled_ports() -> list[int]:
    candidates = list(range(PORT_FIRST, PORT_LAST))
    random.SystemRandom().shuffle(candidates)
    return candidates


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((LOCAL, port)) != 0


def _place_servers(
    answers: dict[str, typing.Any], ports: abc.Iterator[int]
) -> list[dict[str, typing.Any]]:
    by_domain = [service['backend_servers'] for service in answers['services'].values()]
    groups = itertools.chain.from_iterable(servers.values() for servers in by_domain)
    entries = list(itertools.chain.from_iterable(groups))
    return [_place(entry, next(ports)) for entry in entries]


def _place(entry: dict[str, typing.Any], port: int) -> dict[str, typing.Any]:
    entry['address'] = f'{LOCAL}:{port}'
    return {
        'server_id': entry['server_id'],
        'port': port,
        'slots': entry['slots'],
        'service_time_ms': SERVICE_TIME_MS,
    }


def _grant_keys(answers: dict[str, typing.Any]) -> dict[str, str]:
    keys = {
        account_id: secrets.token_urlsafe(KEY_BYTES) for account_id in answers['client_accounts']
    }
    answers['access_keys'] = [
        {'key_digest': hashlib.sha256(key.encode()).hexdigest(), 'account_id': account_id}
        for account_id, key in keys.items()
    ]
    return keys


def _instances(
    answers: dict[str, typing.Any],
    platform: dict[str, int],
    ports: abc.Iterator[int],
) -> list[dict[str, typing.Any]]:
    domains = [domain for region in answers['regions'].values() for domain in region]
    named = zip(domains, INSTANCE_SUFFIXES, strict=True)
    names = [(domain, f'{domain}-{suffix}') for domain, suffixes in named for suffix in suffixes]
    store_port = platform['store']
    list_port = platform['list']
    shared = {
        'store_url': f'http://{LOCAL}:{store_port}',
        'instance_list_url': f'http://{LOCAL}:{list_port}',
        'fleet_key': secrets.token_hex(KEY_BYTES),
        'operator_key': secrets.token_hex(KEY_BYTES),
    }
    return [
        {
            'instance_id': instance_id,
            'failure_domain': domain,
            'caller_address': f'{LOCAL}:{next(ports)}',
            'peer_address': f'{LOCAL}:{next(ports)}',
            'admin_address': f'{LOCAL}:{next(ports)}',
            **shared,
        }
        for domain, instance_id in names
    ]


def _listed(instance: dict[str, typing.Any]) -> dict[str, typing.Any]:
    names = ('instance_id', 'failure_domain', 'peer_address', 'caller_address', 'admin_address')
    return {**{name: instance[name] for name in names}, 'state': 'live'}


def _write_callers(
    folder: pathlib.Path,
    answers: dict[str, typing.Any],
    keys: dict[str, str],
    instances: list[dict[str, typing.Any]],
) -> None:
    services = list(answers['services'])
    addresses = itertools.cycle(instance['caller_address'] for instance in instances)
    lines = []
    for number, (account_id, key) in enumerate(keys.items()):
        service_id = services[number % len(services)]
        entries = ','.join(itertools.islice(addresses, ENTRIES_PER_CALLER))
        rate_per_s = answers['client_accounts'][account_id]['rate_per_s'] * LOAD_SHARE
        fields = (account_id, entries, service_id, key, min(rate_per_s, RATE_MAX_PER_S))
        lines.append(' '.join(map(str, fields + _posts(answers['services'][service_id]))))
    (folder / 'callers.txt').write_text(_lines(lines))


def _posts(service: dict[str, typing.Any]) -> tuple[float, str]:
    paths = [route['path_prefix'] for route in service['routes'] if 'POST' in route['methods']]
    return (POST_SHARE, paths[0]) if paths else (0, '/')


def _lines(parts: list[str]) -> str:
    return ''.join(f'{part}\n' for part in parts)


def _settings(folder: pathlib.Path) -> list[dict[str, typing.Any]]:
    return [json.loads(path.read_text()) for path in sorted((folder / 'instances').iterdir())]


def _status(entry: dict[str, typing.Any]) -> dict[str, typing.Any] | None:
    request = url_request.Request(
        'http://{admin_address}/v1/admin/status'.format(**entry),
        headers={'Authorization': 'Bearer {operator_key}'.format(**entry)},
    )
    try:
        with url_request.urlopen(request, timeout=REQUEST_TIMEOUT_S) as answer:
            status: dict[str, typing.Any] = json.load(answer)
    except (OSError, ValueError):
        return None
    return status


def _last_document(path: pathlib.Path) -> dict[str, typing.Any]:
    for line in reversed(path.read_text().splitlines()):
        if line.startswith('{'):
            document: dict[str, typing.Any] = json.loads(line)
            return document
    return {}


def _write(path: pathlib.Path, document: object) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1))


if __name__ == '__main__':
    sys.exit(main())
