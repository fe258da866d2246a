"""Stand-in for backend servers: many in one process, each on its own port."""

import argparse
import dataclasses
import json
import random
import typing

from twisted.internet import defer

from rhubarbspar.standins import backend
from rhubarbspar.standins import backend_models
from rhubarbspar.standins import const
from rhubarbspar.standins import errors
from rhubarbspar.standins import exchanges
from rhubarbspar.standins import process
from rhubarbspar.standins import web


class BackendServers:
    """Backend servers with one control service.

    Every server has ``POST /control/faults`` and ``POST /control/stall`` on its own port. The control
    service has: ``POST /control/faults`` for all servers; ``GET /control/servers`` for settings and
    ports; ``POST /control/servers`` with a list of settings, of which ``server_id`` is required, to
    change servers or start new ones; ``POST /control/versions`` with a ``VersionFault``;
    ``GET /control/report``; ``POST /control/executed`` with a list of tokens, which answers how often
    each was started.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    seed
        Of jitter and of the requests that a bad version fails.
    clock
        Its time governs everything that takes time; the reactor if omitted.
    """

    def __init__(
        self,
        reactor: web.Reactor,
        seed: int = 0,
        clock: web.Reactor | None = None,
    ) -> None:
        """Start no server yet."""
        self.journal = backend_models.Journal()
        self.servers: dict[str, backend.BackendServer] = {}
        self.service = web.Service(reactor, _refuse, self._control, self._switch_faults)
        self.version_faults: backend.VersionFaults = {}
        self._clock = clock
        self._randomness = random.Random(seed)
        self._reactor = reactor

    def change(self, document: dict[str, typing.Any]) -> backend.BackendServer:
        """Change a server's settings, or start it.

        Raises
        ------
        errors.ControlError
            If the settings are malformed.
        """
        server = self.servers.get(document.get('server_id', ''))
        if server is not None:
            server.change(backend_models.change_settings(document, server.settings))
            return server
        server = backend.BackendServer(
            self._reactor,
            backend_models.change_settings(document, None),
            self.journal,
            self.version_faults,
            self._randomness,
            self._clock,
        )
        server.start()
        self.servers[server.settings.server_id] = server
        return server

    def report(self) -> dict[str, typing.Any]:
        """Return what all servers have seen."""
        return {
            'authorization_requests': self.journal.authorization_requests,
            'run_twice': self.journal.run_twice(),
            'untagged_requests': self.journal.untagged_requests,
            'servers': {
                name: dataclasses.asdict(server.report) for name, server in self.servers.items()
            },
        }

    def close(self) -> defer.Deferred[typing.Any]:
        """Stop all servers and the control service."""
        closing = [server.close() for server in self.servers.values()]
        return defer.gatherResults([*closing, self.service.close()])

    def _switch_faults(self) -> None:
        for server in self.servers.values():
            server.service.switch_faults(self.service.faults)

    def _control(self, exchange: exchanges.Exchange) -> None:
        match exchange.method, exchange.path:
            case const.METHOD_GET, '/control/report':
                exchange.answer_json(self.report())
            case const.METHOD_GET, '/control/servers':
                exchange.answer_json([_describe(server) for server in self.servers.values()])
            case const.METHOD_POST, '/control/servers':
                changed = [self.change(settings) for settings in exchange.document()]
                exchange.answer_json([_describe(server) for server in changed])
            case const.METHOD_POST, '/control/versions':
                fault = backend_models.parse_version_fault(exchange.document())
                self.version_faults[fault.version] = fault
                exchange.answer_json({})
            case const.METHOD_POST, '/control/executed':
                tokens = exchange.document()
                exchange.answer_json({token: self.journal.executions(token) for token in tokens})
            case _:
                raise errors.ControlError(f'{exchange.path}: no such control endpoint')


def _describe(server: backend.BackendServer) -> dict[str, typing.Any]:
    return {**dataclasses.asdict(server.settings), 'port': server.service.port}


def _refuse(exchange: exchanges.Exchange) -> None:
    exchange.answer_json({}, const.HTTP_NOT_FOUND)


def main() -> None:
    """Run backend servers as a process."""
    parser = process.parser('backend_server')
    parser.add_argument('--servers', type=json.loads, default=[], help='JSON list of settings')
    parser.add_argument('--seed', type=int, default=0)
    arguments = parser.parse_args()
    process.run(lambda reactor: _start(reactor, arguments))


def _start(reactor: typing.Any, arguments: argparse.Namespace) -> int:
    servers = BackendServers(reactor, arguments.seed)
    for settings in arguments.servers:
        servers.change(settings)
    return servers.service.listen(arguments.port)


if __name__ == '__main__':
    main()
