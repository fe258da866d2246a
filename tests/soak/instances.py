"""The gateways under test: real processes with proxied links."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

from tests.soak import models
from tests.soak import proxy

DOMAINS = ('almaty-a', 'almaty-b', 'astana-a', 'astana-b', 'aktobe-a', 'aktobe-b')
RESTART_S = 0.5
# Soaks that run at the same time use different loopback addresses, so that they never take each other's ports.
HOST = f'127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1'
_ROOT = pathlib.Path(__file__).parents[2]
_NAMES = ('caller', 'directory', 'forward', 'metrics', 'peer', 'readiness')

_given_ports = set()


class Instance:
    """One gateway process; it is started anew whenever it ends."""

    def __init__(self, reactor, ledger, clock_s, number, store_port, folder):
        """Choose the ports and start the process."""
        self._reactor = reactor
        self._ledger = ledger
        self._clock_s = clock_s
        self.number = number
        self._domain = DOMAINS[number % len(DOMAINS)]
        self._folder = folder
        self.ports = _free_ports()
        self.links = {
            name: proxy.Link(reactor, HOST, self.ports[name])
            for name in ('caller', 'directory', 'peer')
        }
        self.store_link = proxy.Link(reactor, '127.0.0.1', store_port)
        self._settings = folder / f'front-{number}.jsonc'
        self._settings.write_text(json.dumps(self._document()))
        self._process = None
        self._stopped_s = None
        self._closing = False
        self.start()

    def start(self):
        """Start the process."""
        if self._closing:
            return
        self._stopped_s = None
        with (self._folder / f'front-{self.number}.log').open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'rhubarbspar.gateway', str(self._settings)],
                cwd=_ROOT,
                stdout=log,
                stderr=log,
            )
        self._reactor.callLater(0.1, self._watch, self._process)

    def stop(self):
        """Begin a planned stop; a process that outlives the grace period is killed."""
        if self._process.poll() is None and self._stopped_s is None:
            self._stopped_s = self._clock_s()
            self._ledger.stops_s.append((self.number, self._stopped_s))
            self._process.send_signal(signal.SIGTERM)
            self._reactor.callLater(models.GRACE_S, self._kill, self._process)

    def kill(self):
        """End the process at once."""
        self._kill(self._process)

    def pause(self):
        """Let the process stand still."""
        self._signal(signal.SIGSTOP)

    def resume(self):
        """Let the process go on."""
        self._signal(signal.SIGCONT)

    def reload(self):
        """Tell the process that its settings have changed."""
        self._signal(signal.SIGHUP)

    def damage_settings(self, *, keep_half):
        """Remove the settings, or cut them in half; return a function that restores them."""
        text = json.dumps(self._document())
        if keep_half:
            self._settings.write_text(text[: len(text) // 2])
        else:
            self._settings.unlink(missing_ok=True)
        return lambda: self._settings.write_text(text)

    def kill_and_take_port(self):
        """Kill the process and hold its port; return a function that frees the port."""
        self.kill()
        self._process.wait()
        held = socket.create_server((HOST, self.ports['caller']))
        return held.close

    def close(self):
        """End the process and the links."""
        self._closing = True
        self.kill()
        self._process.wait()
        return [link.close() for link in (*self.links.values(), self.store_link)]

    def _watch(self, process):
        code = process.poll()
        if code is None:
            self._reactor.callLater(0.05, self._watch, process)
            return
        killed = code == -signal.SIGKILL and self._stopped_s is None
        if not (killed or self._closing):
            ended = models.Exit(self.number, code, self._stopped_s, self._clock_s())
            self._ledger.exits.append(ended)
        self._reactor.callLater(RESTART_S, self.start)

    def _signal(self, number):
        if self._process.poll() is None:
            os.kill(self._process.pid, number)

    def _kill(self, process):
        if process.poll() is None:
            process.kill()

    def _document(self):
        regions = {domain: domain.partition('-')[0] for domain in DOMAINS}
        return {
            'instance_id': f'front-{self.number}',
            'failure_domain': self._domain,
            'region': regions[self._domain],
            'regions': regions,
            **{f'{name}_address': f'{HOST}:{port}' for name, port in self.ports.items()},
            'store_address': f'127.0.0.1:{self.store_link.port}',
            'bounds': {
                'stop_grace': f'{models.GRACE_S:g}s',
                'retry_ratio': 0.2,
                'retry_allowance': 56,
                'retry_window': '10s',
                'exposure_ratio': 0.1,
                'exposure_allowance': 50,
            },
        }


class Fleet:
    """All instances."""

    def __init__(self, members):
        """Index them by the address that the directory names."""
        self.members = members
        self.size = len(members)
        self._by_address = {f'{HOST}:{member.ports["caller"]}': member.number for member in members}

    def by_address(self, address):
        """Return the instance that listens on an address."""
        return self._by_address[address]

    def caller_port(self, number):
        """Return the proxied port for callers."""
        return self.members[number].links['caller'].port

    def directory_port(self, number):
        """Return the proxied port for look-ups."""
        return self.members[number].links['directory'].port

    def proxied_peer(self, content):
        """Return a registration whose peer address leads through the proxy."""
        document = json.loads(content)
        for member in self.members:
            if document.get('peer_address') == f'{HOST}:{member.ports["peer"]}':
                document['peer_address'] = f'127.0.0.1:{member.links["peer"].port}'
        return json.dumps(document).encode()


def _free_ports():
    """Return a free port for each address.

    A port that another instance was given is not used again: its process may not listen yet.
    """
    probes = []
    ports = {}
    for name in _NAMES:
        port = None
        while port is None or port in _given_ports:
            probe = socket.socket()
            probe.bind((HOST, 0))
            probes.append(probe)
            port = probe.getsockname()[1]
        _given_ports.add(port)
        ports[name] = port
    for probe in probes:
        probe.close()
    return ports
