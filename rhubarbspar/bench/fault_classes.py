"""Classes of faults, each applied to a deployment under load."""

import dataclasses
import functools
import types
import typing
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar.bench import backends
from rhubarbspar.bench import callers
from rhubarbspar.bench import wide_fleet
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.core import effects
from rhubarbspar.core import events

CALM: typing.Final = 'calm'
CUT_MS: typing.Final = 10_000
PAUSE_MS: typing.Final = 5_000
STORE_DOWN_MS: typing.Final = 15_000
STORE_SLOW_DELAY_MS: typing.Final = 400
OVERLOAD: typing.Final = 4


@dataclasses.dataclass
class Run:
    """A deployment under load.

    Attributes
    ----------
    leaving_ms
        When the part that ``leaving_id`` names was told to leave.
    exited_ms
        When the stopped instance exited, or 0.
    left_ms
        When the stopped instance last answered a caller, or ``leaving_ms`` if it answered none.
    """

    fleet: wide_fleet.Fleet
    servers: backends.Backends
    callers: callers.Callers
    leaving_ms: float = 0
    leaving_id: str = ''
    exited_ms: float = 0
    left_ms: float = 0

    def victim(self) -> str:
        """Return the first instance of the last region, where the store is not."""
        domains = self.fleet.domains
        regions = self.fleet.deployed.regions
        of_region = [
            name
            for name in sorted(domains)
            if self.fleet.deployed.region_of(domains[name]) == regions[-1]
        ]
        return of_region[0]

    def victim_domain(self) -> str:
        """Return the victim's failure domain."""
        return self.fleet.domains[self.victim()]

    def server_ids(self) -> list[str]:
        """Return the servers of the victim's region."""
        deployed = self.fleet.deployed
        return [
            server_id
            for server_id, server in self.servers.servers.items()
            if deployed.region_of(server.failure_domain) == deployed.regions[-1]
        ]


@dataclasses.dataclass(frozen=True)
class FaultClass:
    """What is done to a run and how long it is watched from then on."""

    begin: abc.Callable[[Run], None]
    watched_ms: float
    ends_after_ms: float = 0
    overload: bool = False


def _calm(run: Run) -> None:
    """Do nothing."""


def _kill(run: Run) -> None:
    victim = run.victim()
    run.fleet.kill(victim)
    run.callers.lose_connections(victim)


def _pause(run: Run) -> None:
    run.fleet.pause(run.victim(), PAUSE_MS)


def _cut_domain(run: Run) -> None:
    domain = run.victim_domain()
    deployed = run.fleet.deployed
    places = {*deployed.configuration.failure_domains, *deployed.regions} - {domain}
    run.fleet.cut([domain], sorted(places))


def _part_regions(run: Run) -> None:
    domains = run.fleet.deployed.configuration.failure_domains.values()
    regions = run.fleet.deployed.regions
    one, other = (
        [region, *(domain.failure_domain for domain in domains if domain.region == region)]
        for region in (regions[0], regions[-1])
    )
    run.fleet.cut(one, other)


def _stop_store(run: Run) -> None:
    run.fleet.stop_store()


def _slow_store(run: Run) -> None:
    run.fleet.faults.store_delay_ms = (STORE_SLOW_DELAY_MS, STORE_SLOW_DELAY_MS)


def _crash_server(run: Run) -> None:
    run.servers.crash(run.server_ids()[0])


def _silence_server(run: Run) -> None:
    run.servers.silence(run.server_ids()[0])


def _crash_half(run: Run) -> None:
    for server_id in run.server_ids()[::2]:
        run.servers.crash(server_id)


def _stop_instance(run: Run) -> None:
    run.leaving_id = run.victim()
    run.leaving_ms = run.fleet.now_ms
    run.left_ms = run.leaving_ms
    run.fleet.listeners.append(functools.partial(_note_stop, run))
    run.fleet.dispatch_later(run.leaving_id, events.StopRequested())


def _note_stop(run: Run, instance_id: str, effect: effects.Effect) -> None:
    if instance_id != run.leaving_id:
        return
    match effect:
        case effects.Respond():
            run.left_ms = run.fleet.now_ms
        case effects.ExitProcess():
            run.exited_ms = run.fleet.now_ms
            run.fleet.schedule(0, functools.partial(run.fleet.kill, instance_id))
            run.callers.lose_connections(instance_id)


def _drain_server(run: Run) -> None:
    run.leaving_id = run.server_ids()[0]
    run.leaving_ms = run.fleet.now_ms
    run.servers.servers[run.leaving_id].leaving = True
    configuration = run.fleet.configuration
    services = {
        service_id: _with_leaving(service, run.leaving_id)
        for service_id, service in configuration.services.items()
    }
    run.fleet.write(dataclasses.replace(configuration, services=services))


def _with_leaving(
    service: configuration_models.Service, server_id: str
) -> configuration_models.Service:
    servers = tuple(
        dataclasses.replace(server, leaving=server.server_id == server_id)
        for server in service.backend_servers
    )
    return dataclasses.replace(service, backend_servers=servers)


FAULT_CLASSES: typing.Final = types.MappingProxyType(
    {
        CALM: FaultClass(_calm, 6 * package_const.MS_PER_S),
        'instance_killed': FaultClass(_kill, 8 * package_const.MS_PER_S),
        'instance_paused': FaultClass(_pause, 8 * package_const.MS_PER_S),
        'domain_cut': FaultClass(_cut_domain, CUT_MS + 2 * package_const.MS_PER_S, CUT_MS),
        'regions_parted': FaultClass(_part_regions, CUT_MS + 2 * package_const.MS_PER_S, CUT_MS),
        'store_down': FaultClass(
            _stop_store, STORE_DOWN_MS + 2 * package_const.MS_PER_S, STORE_DOWN_MS
        ),
        'store_slow': FaultClass(_slow_store, 6 * package_const.MS_PER_S),
        'server_dead': FaultClass(_crash_server, 5 * package_const.MS_PER_S),
        'server_silent': FaultClass(_silence_server, 5 * package_const.MS_PER_S),
        'half_region_dead': FaultClass(_crash_half, 5 * package_const.MS_PER_S),
        'account_overload': FaultClass(_calm, 6 * package_const.MS_PER_S, overload=True),
        'instance_stop': FaultClass(_stop_instance, 6 * package_const.MS_PER_S),
        'server_drain': FaultClass(_drain_server, 5 * package_const.MS_PER_S),
    }
)
