"""Gateways as processes of their own."""

import errno
import json
import os
import pathlib
import socket
import subprocess
import sys
import time

from tests.gateway import deployment
from tests.gateway import test_settings

ROOT = pathlib.Path(__file__).parents[2]
PROGRAM = 'rhubarbspar/gateway/program.py'
TIMEOUT_S = 60
POLL_INTERVAL_S = 0.001


def until(condition):
    """Wait until a condition holds and return its value."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not (found := condition()):
        assert time.monotonic() < deadline_s
        time.sleep(POLL_INTERVAL_S)
    return found


class Processes:
    """Starts processes of one gateway, one after the other.

    Attributes
    ----------
    settings_path
        Their settings.
    addresses
        Their addresses, by name.
    """

    def __init__(self, folder, instance_id='front-1', store_address=None):
        """Write the settings; no store answers unless its address is given."""
        host = deployment.own_host()
        names = ('front', 'ready', 'directory', 'internal', 'forward', 'store')
        self.addresses = {name: deployment.free_address(host) for name in names}
        store_address = store_address or self.addresses['store']
        values = {
            **test_settings.VALUES,
            'node': json.dumps(instance_id),
            **{f'listen.{name}': json.dumps(self.addresses[name]) for name in names},
            'ip': host,
            'internalPorts.0': self.addresses['internal'].rpartition(':')[2],
            'internalPorts.1': self.addresses['forward'].rpartition(':')[2],
            'provider.address': json.dumps(store_address),
        }
        self.settings_path = folder / f'{instance_id}.jsonc'
        self.settings_path.write_text(test_settings.fill_template(values))
        self.log_path = folder / f'{instance_id}.log'
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
