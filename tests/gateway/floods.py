"""Clients that flood a gateway over sockets, and what the kernel and the process hold meanwhile."""

import contextlib
import dataclasses
import pathlib
import socket
import time

_BYTES_PER_KB = 1024
# State of a listening socket in ``/proc/net/tcp``; its queue counts connections.
_LISTENING = '0A'
_RECEIVE_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Script:
    """What each client of a flood sends.

    Attributes
    ----------
    first_bytes
        Sent at once, as fast as the gateway reads.
    later_bytes
        Sent afterwards, one byte per step.
    reads
        Whether the client reads responses.
    repeats
        Whether it sends the first bytes again and again.
    """

    first_bytes: bytes
    later_bytes: bytes = b''
    reads: bool = True
    repeats: bool = False


class Flood:
    """Clients that connect to an address; one whose connection has closed connects again.

    Parameters
    ----------
    address
        Address that they connect to.
    count
        Number of clients.
    script
        What each of them sends.
    """

    def __init__(self, address, count, script):
        """Start no client yet."""
        host, _, port = address.rpartition(':')
        self._clients = [_Client((host, int(port)), script) for _ in range(count)]

    def step(self):
        """Let each client send what the gateway takes now."""
        for client in self._clients:
            client.step()

    def __enter__(self):
        """Open the connections."""
        self.step()
        return self

    def __exit__(self, *_error):
        """Close the connections."""
        for client in self._clients:
            client.close()


class _Client:
    """One client of a flood."""

    def __init__(self, address, script):
        """Open no connection yet."""
        self._address = address
        self._script = script
        self._opened = None
        self._unsent = memoryview(b'')
        self._later = memoryview(b'')

    def step(self):
        """Open a connection if there is none; send and read without waiting."""
        if self._opened is None:
            self._opened = socket.socket()
            self._opened.setblocking(False)
            self._opened.connect_ex(self._address)
            self._unsent = memoryview(self._script.first_bytes)
            self._later = memoryview(self._script.later_bytes)
        try:
            self._send()
            if self._script.reads and self._is_closed_by_gateway():
                self.close()
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def close(self):
        """Close the connection."""
        if self._opened is not None:
            self._opened.close()
        self._opened = None

    def _send(self):
        if not self._unsent and self._script.repeats:
            self._unsent = memoryview(self._script.first_bytes)
        elif not self._unsent:
            self._unsent = self._later[:1]
            self._later = self._later[1:]
        while self._unsent:
            with contextlib.suppress(BlockingIOError):
                sent = self._opened.send(self._unsent)
                self._unsent = self._unsent[sent:]
                continue
            return

    def _is_closed_by_gateway(self):
        return not self._opened.recv(_RECEIVE_BYTES)


class Usage:
    """The largest memory and the most descriptors of a process seen so far.

    Parameters
    ----------
    process_id
        The process.
    addresses
        Addresses on which it listens.
    """

    def __init__(self, process_id, addresses):
        """Note nothing yet."""
        self._folder = pathlib.Path('/proc') / str(process_id)
        self._locals = {_to_hex(address) for address in addresses}
        self.memory_bytes = 0
        self.resident_bytes = 0
        self.unread_bytes = 0
        self.descriptors = 0

    def sample(self):
        """Note the present usage."""
        resident = self._resident_bytes()
        unread = self._unread_bytes()
        self.memory_bytes = max(self.memory_bytes, resident + unread)
        self.resident_bytes = max(self.resident_bytes, resident)
        self.unread_bytes = max(self.unread_bytes, unread)
        self.descriptors = max(self.descriptors, len(list((self._folder / 'fd').iterdir())))

    def __str__(self):
        """Return the peaks in megabytes."""
        sizes = (self.memory_bytes, self.resident_bytes, self.unread_bytes)
        memory, resident, unread = (round(size / 2**20, 1) for size in sizes)
        return f'{memory} MB ({resident} resident, {unread} unread), {self.descriptors} descriptors'

    def _resident_bytes(self):
        lines = (self._folder / 'status').read_text().splitlines()
        row = next(line for line in lines if line.startswith('VmRSS:'))
        return int(row.split()[1]) * _BYTES_PER_KB

    def _unread_bytes(self):
        """Return what the kernel has received at the addresses and the process has not read."""
        total = 0
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
            _, local, _, state, queues = line.split()[:5]
            if local in self._locals and state != _LISTENING:
                total += int(queues.partition(':')[2], 16)
        return total


def _to_hex(address):
    """Return an address as ``/proc/net/tcp`` writes it."""
    host, _, port = address.rpartition(':')
    packed = int.from_bytes(socket.inet_aton(host), 'little')
    return f'{packed:08X}:{int(port):04X}'


async def play(loop, flood, usage, duration_s):
    """Let a flood run for a time and note the peaks of the usage."""
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        flood.step()
        usage.sample()
        await loop.wait(0.02)
