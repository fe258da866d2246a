"""Program file of a gateway: ``python rhubarbspar/gateway/program.py FILE``.

Until the signals are handled, SIGTERM and SIGHUP end the process by their default actions. Before
that, this file imports only modules that are built into the interpreter: ``signal`` imports
``enum``, and ``python -m`` imports the package first.
"""

import _signal  # type: ignore[import-not-found]  # noqa: WPS436 (see above)
import posix
import sys


def _exit_at_once(_number: int, _frame: object) -> None:
    """End the process; it serves nothing yet."""
    posix._exit(0)  # noqa: WPS437 (an exception could be caught by the code that is interrupted)


def _handle_signals() -> None:
    """Handle signals until the daemon does, which then compares the settings with the file."""
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    _signal.signal(_signal.SIGTERM, _exit_at_once)
    _signal.signal(_signal.SIGINT, _exit_at_once)


_handle_signals()

# As a program, this file has its own folder on the path; its modules are no top-level modules.
sys.path = [entry for entry in sys.path if entry != __file__.rpartition('/')[0]]

import argparse
import importlib
import os
import pathlib

_EXIT_START_FAILED = 1
_EXIT_BAD_INPUT = 2
_STANDARD_DESCRIPTORS = range(3)


def run(settings_path: str) -> int:
    """Run a gateway until its planned stop has ended; return the exit code.

    Raises
    ------
    rhubarbspar.exceptions.RhubarbsparError
        If the settings are absent or invalid.
    """
    _open_standard_descriptors()
    _find_packages()
    try:
        daemon = importlib.import_module('rhubarbspar.gateway.daemon')
    except ModuleNotFoundError as error:
        sys.stderr.write(
            f'rhubarbspar: package {error.name} is neither on the path of the interpreter nor in '
            'target/deps of the repository\n'
        )
        return _EXIT_START_FAILED
    return int(daemon.run(settings_path))


def main() -> int:
    """Run the gateway of the command line; return 2 if its settings are invalid."""
    _open_standard_descriptors()
    parser = argparse.ArgumentParser(prog='rhubarbspar.gateway', description='Run a gateway.')
    parser.add_argument('settings', metavar='FILE', help='gateway settings')
    settings_path = parser.parse_args().settings
    _find_packages()
    exceptions = importlib.import_module('rhubarbspar.exceptions')
    try:
        return run(settings_path)
    except exceptions.RhubarbsparError as error:
        sys.stderr.write(f'rhubarbspar: {error}\n')
        return _EXIT_BAD_INPUT


def _open_standard_descriptors() -> None:
    """Open the null device in place of standard input, output and error that are closed.

    A socket would get the number of a closed one, and log lines would be sent to its peer.
    """
    for descriptor in _STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)
    _, output, error_output = _STANDARD_DESCRIPTORS
    # The interpreter has no object for a descriptor that was closed at its start.
    sys.stdout = sys.stdout or open(output, 'w', closefd=False)  # noqa: SIM115, WPS515
    sys.stderr = sys.stderr or open(error_output, 'w', closefd=False)  # noqa: SIM115, WPS515


def _find_packages() -> None:
    """Put the folder of the package on the path, and after all others that of the build's packages.

    The path may lack both: ``python -S`` reads no ``.pth`` files.
    """
    root = pathlib.Path(__file__).resolve().parents[2]
    if str(root) not in sys.path:
        sys.path.insert(0, str(root))
    packages = str(root / 'target' / 'deps')
    if packages not in sys.path:
        sys.path.append(packages)


if __name__ == '__main__':
    sys.exit(main())
