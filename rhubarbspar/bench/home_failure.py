"""Figures of the loss of an account's home: wrongful refusals, missed deadlines and waiting.

Each fault strikes another instance of one fleet. It is the home of one account for each load and burst, and
owns no backend servers, so that the figures show the limits and not the takeover of servers. Callers use the
other instances.
"""

import dataclasses
import functools
import itertools
import random
import typing
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar.bench import fleet
from rhubarbspar.bench import models
from rhubarbspar.bench import scenario
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models as core_models
from rhubarbspar.helpers import rendezvous

BURSTS: typing.Final = (20, 100)
LOAD_SHARES: typing.Final = (0.5, 0.8, 0.9)
SEEDS: typing.Final = 2
INSTANCES: typing.Final = 10
DOMAINS: typing.Final = 5
SERVING_DOMAINS: typing.Final = 3
SERVERS: typing.Final = 48
READY_MS: typing.Final = 10_000
BEFORE_MS: typing.Final = 1500
AFTER_MS: typing.Final = 5000
FAULT_MS: typing.Final = 3000
RESET_MS: typing.Final = 1
PERCENTILE: typing.Final = 0.99
# The kill is the last: its shares stay unused for up to 18 s.
VICTIMS: typing.Final = (
    ('stopped', 'instance-3'),
    ('paused', 'instance-8'),
    ('cut_off', 'instance-4'),
    ('killed', 'instance-9'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load of one account."""

    fault: str
    home_id: str
    share: float
    burst: int


@dataclasses.dataclass
class Sent:
    """Requests of one load before and after the fault."""

    within: int = 0
    refused: int = 0
    late: int = 0
    other: int = 0
    before_ms: list[float] = dataclasses.field(default_factory=list)
    after_ms: list[float] = dataclasses.field(default_factory=list)


LOADS: typing.Final = tuple(
    Load(fault, home_id, share, burst)
    for fault, home_id in VICTIMS
    for share, burst in itertools.product(LOAD_SHARES, BURSTS)
)


class FaultyFleet(fleet.Fleet):
    """A fleet whose connections end with a killed process and cannot be made across a cut."""

    def __init__(self, seed: int) -> None:
        """Start the instances with one account per load."""
        self.answered_ms: dict[str, float] = {}
        super().__init__(scenario.Size(domains=DOMAINS, servers=SERVERS), INSTANCES, seed)
        self.configuration = _configuration(self.configuration, sorted(self.domains))
        self.write(self.configuration)

    def inject(self, fault: str, instance_id: str) -> None:
        """Start a fault; a pause or cut ends by itself."""
        match fault:
            case 'killed':
                self.kill(instance_id)
            case 'paused':
                self.pause(instance_id, FAULT_MS)
            case 'cut_off':
                for peer_id in self.domains:
                    self.faults.cut(instance_id, peer_id)
                self.schedule(FAULT_MS, self.end_faults)
            case 'stopped':
                self.dispatch(instance_id, events.StopRequested())

    def kill(self, instance_id: str) -> None:
        """Kill a process; the kernel resets its connections."""
        super().kill(instance_id)
        for peer_id in tuple(self.nodes):
            reset = events.PeerDisconnected(instance_id)
            self.schedule(RESET_MS, functools.partial(self.dispatch, peer_id, reset))

    def dispatch(self, instance_id: str, event: events.Event) -> None:
        """Give an event to an instance; a paused one gets it after its pause."""
        if instance_id in self.running():
            super().dispatch(instance_id, event)
            return
        paused = self.nodes.get(instance_id)
        if paused is not None:
            self._deliver(paused, functools.partial(self.dispatch, instance_id, event))

    def _connect(self, instance_id: str, peer_id: str) -> None:
        pair = frozenset((instance_id, peer_id))
        if pair <= set(self.running()) and pair not in self.faults.cuts:
            super()._connect(instance_id, peer_id)

    def _carry_out_other(self, instance_id: str, effect: effects.Effect) -> None:
        super()._carry_out_other(instance_id, effect)
        match effect:
            case effects.Respond(request_id):
                self.answered_ms[request_id] = self.now_ms
            case effects.ExitProcess():
                self.schedule(RESET_MS, functools.partial(self.kill, instance_id))


def home_failure(seed: int) -> abc.Iterator[models.Figure]:
    """Measure what the loss of a home costs an account within its rate."""
    sent = {load: Sent() for load in LOADS}
    for number in range(seed, seed + SEEDS):
        running = FaultyFleet(number)
        running.run(READY_MS)
        generator = random.Random(number)
        for fault, home_id in VICTIMS:
            _strike(running, fault, home_id, generator, sent)
    for load in LOADS:
        yield _figure(load, sent[load], seed)


def _strike(
    running: FaultyFleet,
    fault: str,
    home_id: str,
    generator: random.Random,
    sent: dict[Load, Sent],
) -> None:
    times = {
        load: _send(running, number, load, generator)
        for number, load in enumerate(LOADS)
        if load.fault == fault
    }
    running.schedule(BEFORE_MS, functools.partial(running.inject, fault, home_id))
    fault_ms = running.now_ms + BEFORE_MS
    running.run(BEFORE_MS + AFTER_MS + scenario.DEADLINE_MS)
    for load, requests in times.items():
        _judge(running, load, requests, fault_ms, sent[load])


def _send(
    running: FaultyFleet,
    account: int,
    load: Load,
    generator: random.Random,
) -> dict[str, float]:
    """Schedule an account's requests and return when each is sent."""
    times: dict[str, float] = {}
    at_ms = float(0)
    while True:
        gap_s = generator.expovariate(load.share * scenario.RATE_PER_S)
        at_ms += gap_s * package_const.MS_PER_S
        if at_ms > BEFORE_MS + AFTER_MS:
            return times
        others = running.nodes.keys() - {load.home_id}
        sent_ms = running.now_ms + at_ms
        request_id = f'{account}/{sent_ms}'
        chosen = generator.choice(sorted(others))
        send = functools.partial(running.request, chosen, request_id, account)
        running.schedule(at_ms, send)
        times[request_id] = sent_ms


def _judge(
    running: FaultyFleet,
    load: Load,
    times: dict[str, float],
    fault_ms: float,
    sent: Sent,
) -> None:
    """Count the requests that a token bucket which holds all tokens in one place would admit."""
    level = float(load.burst)
    before_ms = float(0)
    for request_id, at_ms in times.items():
        refill = (at_ms - before_ms) * scenario.RATE_PER_S / package_const.MS_PER_S
        level = min(load.burst, level + refill)
        before_ms = at_ms
        if level >= 1:
            level -= 1
            sent.within += 1
            _count(running, request_id, at_ms, fault_ms, sent)


def _count(
    running: FaultyFleet,
    request_id: str,
    at_ms: float,
    fault_ms: float,
    sent: Sent,
) -> None:
    waited_ms = running.answered_ms.get(request_id, at_ms + scenario.DEADLINE_MS) - at_ms
    (sent.before_ms if at_ms < fault_ms else sent.after_ms).append(waited_ms)
    match running.answers.get(request_id):
        case core_models.Refused(package_const.REASON_RATE_LIMITED):
            sent.refused += 1
        case core_models.Refused(package_const.REASON_DEADLINE_EXCEEDED) | None:
            sent.late += 1
        case core_models.Refused():
            sent.other += 1


def _figure(load: Load, sent: Sent, seed: int) -> models.Figure:
    shown: dict[str, models.Parameter] = {
        'share_of_rate': load.share,
        'burst': load.burst,
        'seeds': SEEDS,
        'requests': sent.within,
        'past_deadline': sent.late,
        'other_refusals': sent.other,
        'p99_before_ms': _percentile(sent.before_ms),
        'p99_after_ms': _percentile(sent.after_ms),
    }
    return models.Figure(f'home_failure.{load.fault}', sent.refused, 'refused', seed, shown)


def _percentile(times_ms: list[float]) -> float:
    return round(sorted(times_ms)[int(PERCENTILE * len(times_ms))], 1)


def _configuration(
    used: configuration_models.Configuration,
    instance_ids: list[str],
) -> configuration_models.Configuration:
    """Give every load an account of its home, and leave the homes' domains without servers."""
    names = [_account_name(number, load, instance_ids) for number, load in enumerate(LOADS)]
    service = used.services[scenario.SERVICE_ID]
    servers = tuple(
        dataclasses.replace(server, failure_domain=scenario.domain_name(number % SERVING_DOMAINS))
        for number, server in enumerate(service.backend_servers)
    )
    accounts = {
        name: configuration_models.ClientAccount(name, scenario.RATE_PER_S, load.burst)
        for name, load in zip(names, LOADS, strict=True)
    }
    keys = {
        scenario.digest(number): configuration_models.AccessKey(scenario.digest(number), name)
        for number, name in enumerate(names)
    }
    return dataclasses.replace(
        used,
        revision=used.revision + 1,
        services={scenario.SERVICE_ID: dataclasses.replace(service, backend_servers=servers)},
        client_accounts=accounts,
        access_keys=keys,
    )


def _account_name(number: int, load: Load, instance_ids: list[str]) -> str:
    for suffix in itertools.count():
        name = f'account-{number}-{suffix}'
        if rendezvous.choose(name, instance_ids) == load.home_id:
            return name
    raise AssertionError('an endless count ended')
