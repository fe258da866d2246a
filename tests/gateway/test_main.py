"""Start and end of the gateway's process."""

import errno
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import sysconfig
import time

import pytest

from tests.gateway import deployment
from tests.gateway import test_settings

ROOT = pathlib.Path(__file__).parents[2]
PROGRAM = 'rhubarbspar/gateway/program.py'
COMMANDS = {
    'program': (PROGRAM,),
    'module': ('-m', 'rhubarbspar.gateway'),
    'command': ('-m', 'rhubarbspar', 'gateway', '--settings'),
}
EXIT_START_FAILED = 1
EXIT_BAD_INPUT = 2
TIMEOUT_S = 60
POLL_INTERVAL_S = 0.001
SEED = 390_412


def until(condition):
    """Wait until a condition holds and return its value."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not (found := condition()):
        assert time.monotonic() < deadline_s
        time.sleep(POLL_INTERVAL_S)
    return found


class Processes:
    """Starts gateways as processes; no store answers them.

    Attributes
    ----------
    settings_path
        Their settings.
    addresses
        Their addresses, by name.
    """

    def __init__(self, folder):
        """Write the settings."""
        host = deployment.own_host()
        names = ('front', 'ready', 'directory', 'internal', 'forward', 'store')
        self.addresses = {name: deployment.free_address(host) for name in names}
        values = {
            **test_settings.VALUES,
            **{f'listen.{name}': json.dumps(self.addresses[name]) for name in names},
            'ip': host,
            'internalPorts.0': self.addresses['internal'].rpartition(':')[2],
            'internalPorts.1': self.addresses['forward'].rpartition(':')[2],
            'provider.address': json.dumps(self.addresses['store']),
        }
        self.settings_path = folder / 'settings.jsonc'
        self.settings_path.write_text(test_settings.fill_template(values))
        self.log_path = folder / 'log'
        self._started = []

    def start(self, *words, root=ROOT, **options):
        """Start a process with words that come before the path of the settings."""
        command = (sys.executable, *words, str(self.settings_path))
        with self.log_path.open('ab') as log:
            streams = {'stdout': log, 'stderr': log, **options}
            self._started.append(subprocess.Popen(command, cwd=root, **streams))
        return self._started[-1]

    def replace_settings_by_pipe(self):
        """Let processes wait for their settings."""
        self.settings_path.unlink()
        os.mkfifo(self.settings_path)

    def until_settings_are_awaited(self):
        """Wait until a process reads the pipe in place of the settings."""
        os.close(until(self._open_pipe))

    def until_ready_port_answers(self):
        """Wait until a process answers; return what it answers."""
        return until(self._ask_readiness)

    def log(self):
        """Return what the processes have logged."""
        return self.log_path.read_text()

    def close(self):
        """End all processes."""
        for process in self._started:
            process.kill()
            process.wait()

    def _open_pipe(self):
        try:
            return os.open(self.settings_path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            assert error.errno == errno.ENXIO
            return None

    def _ask_readiness(self):
        host, _, port = self.addresses['ready'].rpartition(':')
        try:
            with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
                connection.sendall(
                    b'GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
                )
                with connection.makefile('rb') as answer:
                    return answer.read()
        except OSError:
            return b''


@pytest.fixture
def processes(tmp_path):
    """Return a starter of processes."""
    created = Processes(tmp_path)
    yield created
    created.close()


def handles_stop(process):
    """Return whether a process handles SIGTERM."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    caught = next(line for line in status.splitlines() if line.startswith('SigCgt:'))
    return int(caught.split()[1], 16) >> (signal.SIGTERM - 1) & 1


@pytest.mark.parametrize('command', COMMANDS.values(), ids=COMMANDS)
def test_sighup_does_not_end_a_process_that_starts(processes, command):
    """Guards against a change of the settings that ends the processes which are starting.

    The process waits for its settings when the signal comes; they are invalid, so that it ends.
    """
    processes.replace_settings_by_pipe()
    process = processes.start(*command)
    with processes.settings_path.open('w') as writer:
        process.send_signal(signal.SIGHUP)
        writer.write('{')
    assert process.wait(TIMEOUT_S) == EXIT_BAD_INPUT


@pytest.mark.parametrize('number', [signal.SIGINT, signal.SIGTERM])
@pytest.mark.parametrize('command', COMMANDS.values(), ids=COMMANDS)
def test_stop_of_a_process_that_awaits_its_settings_is_no_failure(processes, command, number):
    """Guards against a stop during the start that shows as a process ended by a signal."""
    processes.replace_settings_by_pipe()
    process = processes.start(*command)
    processes.until_settings_are_awaited()
    process.send_signal(number)
    assert process.wait(TIMEOUT_S) == 0


def test_stop_of_a_process_whose_port_is_taken_ends_it_soon(processes):
    """Guards against a planned stop of a process that waits for a port and serves nothing."""
    with deployment.hold(processes.addresses['directory']):
        process = processes.start(PROGRAM)
        until(lambda: 'bind_failed' in processes.log())
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
    assert 'event=started' not in processes.log()
    assert 'event=stopping' not in processes.log()


@pytest.mark.parametrize('number', range(6))
def test_stop_at_any_moment_of_a_start_is_no_failure(processes, number):
    """Guards against a signal that is lost, or ends the process, between two handlers."""
    process = processes.start(PROGRAM)
    until(lambda: handles_stop(process))
    time.sleep(random.Random(SEED + number).uniform(0, 0.6))
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_S) == 0, f'seed {SEED + number}'


def test_signals_until_the_end_of_a_planned_stop_change_nothing(processes):
    """Guards against a signal after the last response that shows as a process ended by it."""
    process = processes.start(PROGRAM)
    processes.until_ready_port_answers()
    while process.poll() is None:
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        time.sleep(POLL_INTERVAL_S)
    assert process.returncode == 0
    assert processes.log().count('event=stopping') == 1


@pytest.mark.parametrize('closed', [(1,), (1, 2), (0, 1, 2)])
def test_process_without_standard_descriptors_serves(processes, closed):
    """Guards against a start that fails, and log lines in a connection, without standard output."""

    def close_descriptors():
        for descriptor in closed:
            os.close(descriptor)

    process = processes.start(PROGRAM, preexec_fn=close_descriptors)
    answer = processes.until_ready_port_answers()
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'event=' not in answer
    opened = {number: os.readlink(f'/proc/{process.pid}/fd/{number}') for number in closed}
    assert opened == dict.fromkeys(closed, os.devnull)
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_S) == 0


@pytest.fixture
def deployed_tree(tmp_path):
    """Return a copy of the repository's package, as the build finds it."""
    root = tmp_path / 'deployed'
    ignore = shutil.ignore_patterns('__pycache__')
    shutil.copytree(ROOT / 'rhubarbspar', root / 'rhubarbspar', ignore=ignore)
    (root / 'target').mkdir()
    return root


def start_deployed(processes, root):
    """Start a process whose path names no packages."""
    environment = {name: text for name, text in os.environ.items() if name != 'PYTHONPATH'}
    return processes.start('-S', PROGRAM, root=root, env=environment)


def test_packages_are_found_beside_the_program(processes, deployed_tree):
    """Guards against a start that fails because nothing puts the build's packages on the path."""
    packages = deployed_tree / 'target' / 'deps'
    packages.symlink_to(sysconfig.get_path('purelib'))
    processes.replace_settings_by_pipe()
    process = start_deployed(processes, deployed_tree)
    processes.until_settings_are_awaited()
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_S) == 0


def test_missing_packages_are_named(processes, deployed_tree):
    """Guards against a failed start whose log does not tell what is missing."""
    process = start_deployed(processes, deployed_tree)
    assert process.wait(TIMEOUT_S) == EXIT_START_FAILED
    assert 'target/deps' in processes.log()
    assert 'Traceback' not in processes.log()
