"""Command line: parses the arguments, runs one command and returns its exit code."""

import argparse
import functools
import importlib
import sys
import time
import typing
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar import exceptions
from rhubarbspar.helpers import errors as helper_errors
from rhubarbspar.operators import const
from rhubarbspar.operators import errors
from rhubarbspar.operators import etcd
from rhubarbspar.operators import fleet
from rhubarbspar.operators import settings as operator_settings
from rhubarbspar.operators.commands import apply
from rhubarbspar.operators.commands import check
from rhubarbspar.operators.commands import drain
from rhubarbspar.operators.commands import environment as environments
from rhubarbspar.operators.commands import explain
from rhubarbspar.operators.commands import keys
from rhubarbspar.operators.commands import moves
from rhubarbspar.operators.commands import plan
from rhubarbspar.operators.commands import versions
from rhubarbspar.server import settings as instance_settings

Connect: typing.TypeAlias = abc.Callable[[str], environments.Environment]

_EXIT_CODES: typing.Final = (
    'exit codes: 0 done; 1 failed, or the outcome is unknown; 2 usage or bad input, nothing was '
    'written; 3 conflict with a newer revision, nothing was written'
)
_COMMANDS: typing.Final = (
    ('apply', apply, 'write the configuration of an answers file'),
    ('drain', drain, 'plan or withdraw a drain'),
    ('keys', keys, 'grant, withdraw and list access keys'),
    ('moves', moves, 'show the progress of moves'),
    ('plan', plan, 'show what applying an answers file would change'),
    ('versions', versions, 'start and withdraw moves to new versions'),
)


def connect(settings_path: str) -> environments.Environment:
    """Return an environment with the store and the fleet named by an operator settings file."""
    settings = operator_settings.load(settings_path)
    return environments.Environment(
        store=etcd.EtcdStore(settings.store_url),
        fleet=fleet.HttpFleet(settings.instance_list_url, settings.operator_key),
        now_unix_s=time.time,
        pause=time.sleep,
        write_line=functools.partial(print, flush=True),
    )


def main(arguments: abc.Sequence[str] | None = None, connect_to: Connect = connect) -> int:
    """Run one command and return its exit code.

    Parameters
    ----------
    arguments
        Arguments without the program name; by default those of the process.
    connect_to
        Returns the environment of a command, given the path of the operator settings.
    """
    parsed = _parser().parse_args(arguments)
    try:
        return int(parsed.run(parsed, connect_to))
    except (exceptions.RhubarbsparError, OSError) as error:
        sys.stderr.write(f'rhubarbspar: {error}\n')
        return _exit_code(error)
    except KeyboardInterrupt:
        sys.stderr.write('rhubarbspar: interrupted; a change may have been written\n')
        return const.EXIT_FAILED


def _exit_code(error: Exception) -> int:
    match error:
        case (
            errors.InputError()
            | helper_errors.InvalidFileError()
            | helper_errors.UnreadableFileError()
        ):
            return const.EXIT_BAD_INPUT
        case errors.ConflictError() | errors.GuardError():
            return const.EXIT_CONFLICT
        case _:
            return const.EXIT_FAILED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='rhubarbspar',
        description='Global traffic steering.',
        epilog=_EXIT_CODES,
    )
    parser.add_argument('--version', action='version', version=package_const.VERSION)
    commands = parser.add_subparsers(dest='command', required=True, metavar='COMMAND')
    _add_local_commands(commands)
    for name, module, purpose in _COMMANDS:
        command = commands.add_parser(name, help=purpose, description=purpose, epilog=_EXIT_CODES)
        module.add_arguments(command)
        command.set_defaults(run=functools.partial(_run_with_environment, module.run))
    return parser


def _add_local_commands(
    commands: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    purpose = 'check an answers file without the store'
    check_parser = commands.add_parser(
        'check', help=purpose, description=purpose, epilog=_EXIT_CODES
    )
    check.add_arguments(check_parser)
    check_parser.set_defaults(run=_run_check)
    purpose = 'show where a gateway would send a request now, and why'
    explain_parser = commands.add_parser(
        'explain', help=purpose, description=purpose, epilog=explain.EPILOG
    )
    explain.add_arguments(explain_parser)
    explain_parser.set_defaults(run=_run_explain)
    purpose = 'run an entry instance until its planned stop'
    instance_parser = commands.add_parser(
        'instance', help=purpose, description=purpose, epilog=_EXIT_CODES
    )
    instance_parser.add_argument(
        '--settings', required=True, metavar='FILE', help='instance settings'
    )
    instance_parser.set_defaults(run=_run_instance)
    purpose = "run a gateway on the users' platform until its planned stop"
    gateway_parser = commands.add_parser(
        'gateway', help=purpose, description=purpose, epilog=_EXIT_CODES
    )
    gateway_parser.add_argument(
        '--settings', required=True, metavar='FILE', help='gateway settings'
    )
    gateway_parser.set_defaults(run=_run_gateway)


def _run_with_environment(
    run: abc.Callable[[argparse.Namespace, environments.Environment], int],
    parsed: argparse.Namespace,
    connect_to: Connect,
) -> int:
    return run(parsed, connect_to(parsed.settings))


def _run_check(parsed: argparse.Namespace, _connect_to: Connect) -> int:
    return check.run(parsed)


def _run_explain(parsed: argparse.Namespace, _connect_to: Connect) -> int:
    return explain.run(parsed)


def _run_instance(parsed: argparse.Namespace, _connect_to: Connect) -> int:
    settings = instance_settings.load(parsed.settings)
    # Imported here, because it imports the reactor, which other commands do not need.
    daemon = importlib.import_module('rhubarbspar.server.daemon')
    return int(daemon.run(settings))


def _run_gateway(parsed: argparse.Namespace, _connect_to: Connect) -> int:
    # Imported here, because it handles the signals of the process.
    program = importlib.import_module('rhubarbspar.gateway.program')
    return int(program.run(parsed.settings))
