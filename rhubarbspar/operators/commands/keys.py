"""``keys``: grant, withdraw and list access keys."""

import argparse
import dataclasses
import hashlib
import re
import secrets
import typing

from rhubarbspar.components.configuration import models
from rhubarbspar.core import effects
from rhubarbspar.operators import changes
from rhubarbspar.operators import const
from rhubarbspar.operators import errors
from rhubarbspar.operators import snapshots
from rhubarbspar.operators.commands import arguments
from rhubarbspar.operators.commands import environment as environments
from rhubarbspar.operators.commands import writing

KEY_BYTES: typing.Final = 32
_DIGEST_PREFIX: typing.Final = re.compile('[0-9a-f]{8,64}')


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    actions = parser.add_subparsers(dest='action', required=True, metavar='ACTION')
    grant_parser = actions.add_parser('grant', help='create an access key and print it once')
    grant_parser.add_argument('account', metavar='ACCOUNT', help='client account of the key')
    withdraw_parser = actions.add_parser('withdraw', help='withdraw an access key')
    withdraw_parser.add_argument(
        'digest',
        metavar='DIGEST',
        help='SHA-256 digest of the key as printed by "keys list", or at least its first 8 digits',
    )
    list_parser = actions.add_parser('list', help='list access keys by digest')
    for action_parser in (grant_parser, withdraw_parser, list_parser):
        arguments.add_settings(action_parser)
    list_parser.add_argument(
        '--account', metavar='ACCOUNT', help='only those of this client account'
    )


def run(parsed: argparse.Namespace, environment: environments.Environment) -> int:
    """Grant, withdraw or list access keys, as the action says."""
    match parsed.action:
        case 'grant':
            _grant(environment, parsed.account)
        case 'withdraw':
            _withdraw(environment, parsed.digest)
        case _:
            _list(environment, parsed.account)
    return const.EXIT_DONE


def _grant(environment: environments.Environment, account_id: str) -> None:
    base = snapshots.read(environment.store)
    configuration = base.require_configuration()
    if account_id not in configuration.client_accounts:
        raise errors.InputError(f'unknown client account {account_id}')
    key = secrets.token_urlsafe(KEY_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    granted = {**configuration.access_keys, digest: models.AccessKey(digest, account_id)}
    changed = dataclasses.replace(configuration, access_keys=granted)
    # The digest is printed before the write, so that the operator can withdraw the key if the
    # outcome remains unknown.
    environment.write_line(f'granting access key with digest {digest} to {account_id}')
    writing.write(environment, changes.Change(base, changed, 'keys grant'))
    environment.write_line(f'access key (not shown again): {key}')


def _withdraw(environment: environments.Environment, digest_prefix: str) -> None:
    if not _DIGEST_PREFIX.fullmatch(digest_prefix):
        raise errors.InputError('expected 8 to 64 lower-case hexadecimal digits of the digest')
    base = snapshots.read(environment.store)
    configuration = base.require_configuration()
    found = [digest for digest in configuration.access_keys if digest.startswith(digest_prefix)]
    if len(found) > 1:
        raise errors.InputError(f'{len(found)} access keys start with {digest_prefix}')
    if found:
        _write_withdrawal(environment, base, found[0])
        return
    withdrawn = environment.store.list_prefix(
        f'{const.STORE_PREFIX_WITHDRAWN_KEYS}{digest_prefix}',
    )
    if not withdrawn:
        raise errors.InputError(f'no access key starts with {digest_prefix}')
    environment.write_line(f'withdrawn already; revision {base.revision} is without the key')
    writing.push(environment, configuration, base.revision)


def _write_withdrawal(
    environment: environments.Environment,
    base: snapshots.Snapshot,
    digest: str,
) -> None:
    configuration = base.require_configuration()
    kept = {known: key for known, key in configuration.access_keys.items() if known != digest}
    withdrawal_record = effects.StorePut(f'{const.STORE_PREFIX_WITHDRAWN_KEYS}{digest}', b'{}')
    account_id = configuration.access_keys[digest].account_id
    environment.write_line(f'withdrawing access key with digest {digest} of {account_id}')
    writing.write(
        environment,
        changes.Change(
            base=base,
            configuration=dataclasses.replace(configuration, access_keys=kept),
            command='keys withdraw',
            puts=(withdrawal_record,),
        ),
    )


def _list(environment: environments.Environment, account_id: str | None) -> None:
    configuration = snapshots.read(environment.store).require_configuration()
    if account_id is not None and account_id not in configuration.client_accounts:
        raise errors.InputError(f'unknown client account {account_id}')
    for key in sorted(configuration.access_keys.values(), key=_account_and_digest):
        if account_id in {None, key.account_id}:
            environment.write_line(f'{key.key_digest} {key.account_id}')


def _account_and_digest(key: models.AccessKey) -> tuple[str, str]:
    return key.account_id, key.key_digest
