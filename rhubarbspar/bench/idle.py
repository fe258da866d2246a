"""Processor time of an entry instance without requests, and its parts.

The whole and the metrics are measured at the process. Ticks and load probes are measured in this process
with the same code, because a process does not tell its parts apart; store calls, the instance list and
the event loop's timers are what remains.
"""

import asyncio
import http
import importlib
import statistics
import time
import typing
from collections import abc

from twisted.internet import asyncioreactor
from twisted.internet import task

from rhubarbspar import const as package_const
from rhubarbspar.bench import fleet
from rhubarbspar.bench import models
from rhubarbspar.bench import processes
from rhubarbspar.bench import scenario
from rhubarbspar.core import events
from rhubarbspar.server import const as server_const
from rhubarbspar.server import probe

PERIODS: typing.Final = 3
PERCENT: typing.Final = 100
# The entry instance of the Guild's example owns the backend servers of its region.
OWNED_SERVERS: typing.Final = 12
CONFIGURED_SERVERS: typing.Final = 36
DOMAINS: typing.Final = 6
TICK_RUN_MS: typing.Final = 20_000
PROBE_ROUNDS: typing.Final = 8
SCRAPES: typing.Final = 100
SCRAPE_INTERVAL_S: typing.Final = 15
MS_PER_S: typing.Final = 1000


class _TimedFleet(fleet.Fleet):
    """Adds up the processor time of ticks."""

    def __init__(self, size: scenario.Size, seed: int) -> None:
        self.tick_s: float = 0
        super().__init__(size, 1, seed)

    def dispatch(self, instance_id: str, event: events.Event) -> None:
        before_s = self.counted.processor_s
        super().dispatch(instance_id, event)
        if isinstance(event, events.Tick):
            self.tick_s += self.counted.processor_s - before_s


def shares(found: processes.Processes, seed: int) -> abc.Iterator[models.Figure]:
    """Measure the share of a core that an entry instance without peers and requests uses."""
    measured = [processes.idle_shares(found.through.process_id)[0] for _ in range(PERIODS)]
    whole = statistics.median(measured) * PERCENT
    parts = {
        'ticks': _ticks(seed) * PERCENT,
        'load_probes': _probes(found.server_addresses) * PERCENT,
        'metrics': _scrape_s(found.metrics) / SCRAPE_INTERVAL_S * PERCENT,
    }
    spread: dict[str, models.Parameter] = {
        'least': min(measured) * PERCENT,
        'most': max(measured) * PERCENT,
    }
    yield models.Figure('entry.idle', whole, '% of a core', seed, spread)
    for name, share in parts.items():
        yield models.Figure(f'entry.idle_{name}', share, '% of a core', seed)
    rest = whole - sum(parts.values())
    yield models.Figure('entry.idle_rest', rest, '% of a core', seed)


def _ticks(seed: int) -> float:
    size = scenario.Size(domains=DOMAINS, servers=CONFIGURED_SERVERS)
    alone = _TimedFleet(size, seed)
    alone.warm_up()
    alone.tick_s = 0
    alone.run(TICK_RUN_MS)
    return alone.tick_s / (TICK_RUN_MS / package_const.MS_PER_S)


def _probes(addresses: tuple[str, ...]) -> float:
    """Probe servers at the usual intervals in this process; the reactor runs only once."""
    install: abc.Callable[[asyncio.AbstractEventLoop], None] = asyncioreactor.install
    install(asyncio.new_event_loop())
    reactor = importlib.import_module('twisted.internet.reactor')
    reports: list[events.Event] = []
    spent_s: list[float] = []
    prober = probe.LoadProber(reactor, reports.append)
    loop = task.LoopingCall(_probe_all, prober, addresses[:OWNED_SERVERS])
    reactor.callWhenRunning(loop.start, server_const.LOAD_PROBE_INTERVAL_S)
    # Half an interval after the first and after the last round that counts.
    first_s = server_const.LOAD_PROBE_INTERVAL_S / 2
    measured_s = PROBE_ROUNDS * server_const.LOAD_PROBE_INTERVAL_S
    reactor.callLater(first_s, _note_time, spent_s)
    reactor.callLater(first_s + measured_s, _note_time, spent_s)
    reactor.callLater(first_s + measured_s, reactor.stop)
    reactor.run(installSignalHandlers=False)
    if not all(isinstance(report, events.LoadReported) and report.healthy for report in reports):
        raise processes.EntryError('a load endpoint did not answer')
    return (spent_s[1] - spent_s[0]) / measured_s


def _probe_all(prober: probe.LoadProber, addresses: tuple[str, ...]) -> None:
    for address in addresses:
        prober.probe(address, address)


def _note_time(spent_s: list[float]) -> None:
    spent_s.append(time.process_time())


def _scrape_s(target: processes.Target) -> float:
    """Return the processor time of one reading of the metrics."""
    connection = processes.connect(target)
    before_s = processes.processor_s(target.process_id)
    for number in range(SCRAPES):
        if processes.exchange(connection, target, number) != http.HTTPStatus.OK:
            raise processes.EntryError('the metrics could not be read')
    spent_s = processes.processor_s(target.process_id) - before_s
    connection.close()
    return spent_s / SCRAPES
