"""Start and end of the gateway's process."""

import os
import pathlib
import random
import shutil
import signal
import sysconfig
import time

import pytest

from tests.gateway import deployment
from tests.gateway import processes as gateway_processes

COMMANDS = {
    'program': (gateway_processes.PROGRAM,),
    'module': ('-m', 'rhubarbspar.gateway'),
    'command': ('-m', 'rhubarbspar', 'gateway', '--settings'),
}
EXIT_START_FAILED = 1
EXIT_BAD_INPUT = 2
SEED = 390_412


@pytest.fixture
def processes(tmp_path):
    """Return a starter of processes."""
    created = gateway_processes.Processes(tmp_path)
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
    assert process.wait(gateway_processes.TIMEOUT_S) == EXIT_BAD_INPUT


@pytest.mark.parametrize('number', [signal.SIGINT, signal.SIGTERM])
@pytest.mark.parametrize('command', COMMANDS.values(), ids=COMMANDS)
def test_stop_of_a_process_that_awaits_its_settings_is_no_failure(processes, command, number):
    """Guards against a stop during the start that shows as a process ended by a signal."""
    processes.replace_settings_by_pipe()
    process = processes.start(*command)
    processes.until_settings_are_awaited()
    process.send_signal(number)
    assert process.wait(gateway_processes.TIMEOUT_S) == 0


def test_stop_of_a_process_whose_port_is_taken_ends_it_soon(processes):
    """Guards against a planned stop of a process that waits for a port and serves nothing."""
    with deployment.hold(processes.addresses['directory']):
        process = processes.start(gateway_processes.PROGRAM)
        gateway_processes.until(lambda: 'bind_failed' in processes.log())
        process.send_signal(signal.SIGTERM)
        assert process.wait(gateway_processes.TIMEOUT_S) == 0
    assert 'event=started' not in processes.log()
    assert 'event=stopping' not in processes.log()


@pytest.mark.parametrize('number', range(6))
def test_stop_at_any_moment_of_a_start_is_no_failure(processes, number):
    """Guards against a signal that is lost, or ends the process, between two handlers."""
    process = processes.start(gateway_processes.PROGRAM)
    gateway_processes.until(lambda: handles_stop(process))
    time.sleep(random.Random(SEED + number).uniform(0, 0.6))
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    assert process.wait(gateway_processes.TIMEOUT_S) == 0, f'seed {SEED + number}'


def test_signals_until_the_end_of_a_planned_stop_change_nothing(processes):
    """Guards against a signal after the last response that shows as a process ended by it."""
    process = processes.start(gateway_processes.PROGRAM)
    processes.until_ready_port_answers()
    while process.poll() is None:
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        time.sleep(gateway_processes.POLL_INTERVAL_S)
    assert process.returncode == 0
    assert processes.log().count('event=stopping') == 1


@pytest.mark.parametrize('closed', [(1,), (1, 2), (0, 1, 2)])
def test_process_without_standard_descriptors_serves(processes, closed):
    """Guards against a start that fails, and log lines in a connection, without standard output."""

    def close_descriptors():
        for descriptor in closed:
            os.close(descriptor)

    process = processes.start(gateway_processes.PROGRAM, preexec_fn=close_descriptors)
    answer = processes.until_ready_port_answers()
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'event=' not in answer
    opened = {number: os.readlink(f'/proc/{process.pid}/fd/{number}') for number in closed}
    assert opened == dict.fromkeys(closed, os.devnull)
    process.send_signal(signal.SIGTERM)
    assert process.wait(gateway_processes.TIMEOUT_S) == 0


@pytest.fixture
def deployed_tree(tmp_path):
    """Return a copy of the repository's package, as the build finds it."""
    root = tmp_path / 'deployed'
    ignore = shutil.ignore_patterns('__pycache__')
    shutil.copytree(gateway_processes.ROOT / 'rhubarbspar', root / 'rhubarbspar', ignore=ignore)
    (root / 'target').mkdir()
    return root


def start_deployed(processes, root):
    """Start a process whose path names no packages."""
    environment = {name: text for name, text in os.environ.items() if name != 'PYTHONPATH'}
    return processes.start('-S', gateway_processes.PROGRAM, root=root, env=environment)


def test_packages_are_found_beside_the_program(processes, deployed_tree):
    """Guards against a start that fails because nothing puts the build's packages on the path."""
    packages = deployed_tree / 'target' / 'deps'
    packages.symlink_to(sysconfig.get_path('purelib'))
    processes.replace_settings_by_pipe()
    process = start_deployed(processes, deployed_tree)
    processes.until_settings_are_awaited()
    process.send_signal(signal.SIGTERM)
    assert process.wait(gateway_processes.TIMEOUT_S) == 0


def test_missing_packages_are_named(processes, deployed_tree):
    """Guards against a failed start whose log does not tell what is missing."""
    process = start_deployed(processes, deployed_tree)
    assert process.wait(gateway_processes.TIMEOUT_S) == EXIT_START_FAILED
    assert 'target/deps' in processes.log()
    assert 'Traceback' not in processes.log()
