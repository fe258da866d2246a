"""Human-readable difference between two configurations."""

import dataclasses
import typing
from collections import abc

from rhubarbspar.components.configuration import models

_Fields: typing.TypeAlias = abc.Mapping[str, object]


def difference(
    before: models.Configuration | None,
    after: models.Configuration,
) -> list[str]:
    """Return one line for each entry that is added (+), removed (-) or changed (~).

    The revision itself is not compared. ``before`` is ``None`` if there was no configuration.
    """
    old = {} if before is None else _entries(before)
    new = _entries(after)
    lines: list[str] = []
    for path in sorted(old.keys() | new.keys()):
        lines.extend(_describe_entry(path, old.get(path), new.get(path)))
    return lines


def _describe_entry(path: str, old: _Fields | None, new: _Fields | None) -> list[str]:
    if old is None:
        added = _format_fields(new or {})
        return [f'+ {path}: {added}']
    if new is None:
        removed = _format_fields(old)
        return [f'- {path}: {removed}']
    changed = [name for name in sorted(new) if old[name] != new[name]]
    return [_describe_change(f'{path}.{name}', old[name], new[name]) for name in changed]


def _describe_change(path: str, old: object, new: object) -> str:
    old_text = _format_field(old)
    new_text = _format_field(new)
    return f'~ {path}: {old_text} -> {new_text}'


def _entries(configuration: models.Configuration) -> dict[str, _Fields]:
    entries: dict[str, _Fields] = {
        'general': {
            'deployment': configuration.deployment,
            'store_failure_domain': configuration.store_failure_domain,
        },
    }
    for service in configuration.services.values():
        path = f'services.{service.service_id}'
        entries[path] = {'version': service.version}
        entries |= _entries_by_key(f'{path}.routes', service.routes, 'path_prefix', 'methods')
        entries |= _entries_by_key(f'{path}.backend_servers', service.backend_servers, 'server_id')
    accounts = configuration.client_accounts.values()
    entries |= _entries_by_key('client_accounts', accounts, 'account_id')
    entries |= _entries_by_key('access_keys', configuration.access_keys.values(), 'key_digest')
    domains = configuration.failure_domains.values()
    entries |= _entries_by_key('failure_domains', domains, 'failure_domain')
    entries |= _entries_by_key('links', configuration.links, 'source_region', 'target_region')
    entries |= _entries_by_key('client_blocks', configuration.client_blocks, 'network')
    return entries | _entries_by_key('moves', configuration.moves.values(), 'move_id')


def _entries_by_key(
    path: str, members: abc.Iterable[typing.Any], *key_names: str
) -> dict[str, _Fields]:
    entries: dict[str, _Fields] = {}
    for member in members:
        fields = dataclasses.asdict(member)
        key = ' '.join(_format_field(fields.pop(name)) for name in key_names)
        entries[f'{path}.{key}'] = fields
    return entries


def _format_fields(fields: _Fields) -> str:
    return ' '.join(
        '='.join((name, _format_field(field))) for name, field in sorted(fields.items())
    )


def _format_field(field: object) -> str:
    if isinstance(field, tuple):
        return ','.join(str(part) for part in field)
    if isinstance(field, float):
        return format(field, '.15g')
    if field == '':
        return 'none'
    return str(field)
