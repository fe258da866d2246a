"""A deployment whose first gateway is a process of its own, and strangers that connect to it."""

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import time

from tests.gateway import deployment

_ROOT = pathlib.Path(__file__).parents[2]
_CODE = """
import os, resource, sys
count = int(sys.argv[1])
resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))
os.execv(sys.executable, [sys.executable, 'rhubarbspar/gateway/program.py', sys.argv[2]])
"""


class ProcessGateway(deployment.Gateway):
    """A gateway in a process that may hold few file descriptors.

    Attributes
    ----------
    process
        Its process.
    environment
        Variables that it gets besides those of this process.
    """

    descriptors = 120
    environment: dict[str, str] = {}
    source = _ROOT

    def _start(self, _reactor):
        command = (sys.executable, '-c', _CODE, str(self.descriptors), str(self.settings_path))
        with self.settings_path.with_suffix('.log').open('wb') as log:
            self.process = subprocess.Popen(
                command,
                cwd=self.source,
                stdout=log,
                stderr=log,
                env={**os.environ, **self.environment},
            )
        return self

    def close(self):
        """End the process."""
        self.process.kill()
        self.process.wait()

    @property
    def log_text(self):
        """Return what the process has written so far."""
        return self.settings_path.with_suffix('.log').read_text()


class ProcessDeployment(deployment.Deployment):
    """A store and a backend server in this process, and a gateway in one of its own."""

    first_type = ProcessGateway

    async def until_ready(self):
        """Wait until the gateway serves requests."""
        while True:
            response = await self.call('front', b'/stock/1')
            if getattr(response, 'status', 0) == 200:
                return
            await self.loop.wait(0.05)


class Strangers:
    """Connections that send a part of a request, or nothing, and stay open."""

    def __init__(self, address, count, first_bytes=b''):
        """Open the connections."""
        host, _, port = address.rpartition(':')
        self._sockets = [socket.socket() for _ in range(count)]
        for opened in self._sockets:
            opened.setblocking(False)
            opened.connect_ex((host, int(port)))
        if first_bytes:
            time.sleep(0.05)
            self._send(first_bytes)

    def __enter__(self):
        """Keep the connections open."""
        return self

    def _send(self, chunk):
        for opened in self._sockets:
            # The gateway may have closed the connection, or not accepted it yet.
            with contextlib.suppress(OSError):
                opened.send(chunk)

    def __exit__(self, *_error):
        """Close the connections."""
        for opened in self._sockets:
            opened.close()
