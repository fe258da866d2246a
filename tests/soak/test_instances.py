"""Ports of the gateways under test."""

import itertools

from tests.soak import instances


class FakeSocket:
    """A socket whose free ports repeat, as they do while no process listens yet."""

    numbers = itertools.chain([1, 2, 3, 4, 5, 6], range(1, 20))

    def bind(self, _address):
        """Choose the next port."""
        self._port = next(self.numbers)

    def getsockname(self):
        """Return the address."""
        return ('127.0.0.1', self._port)

    def close(self):
        """Free the port."""


def test_instances_get_different_ports(monkeypatch):
    """Guards against a soak that ends because one gateway was given the port of another."""
    monkeypatch.setattr(instances.socket, 'socket', FakeSocket)
    monkeypatch.setattr(instances, '_given_ports', set(), raising=False)
    ports = [*instances._free_ports().values(), *instances._free_ports().values()]
    assert len(set(ports)) == len(ports)
