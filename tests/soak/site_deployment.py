"""The operators' deployment on loopback, with its day of events."""

import dataclasses
import pathlib
import random
import tempfile

from twisted.internet import defer
from twisted.internet import task

from tests.soak import instances
from tests.soak import models
from tests.soak import sites
from tests.soak import site_callers
from tests.soak import site_checks
from tests.soak import site_events
from tests.soak import site_operator
from tests.soak import site_servers

PAGE_ITEMS = 200
FACTOR = 0.25
READY_S = 10.0
START_MAX_S = 60.0
LAG_MAX_S = 0.2


@dataclasses.dataclass(frozen=True)
class Options:
    """How a run is played.

    Attributes
    ----------
    factor
        Share of the site's rates, callers and slots.
    tree
        Checkout whose gateways are played.
    day_s
        Length of the day; events that would begin in its last seconds are left out.
    """

    factor: float = FACTOR
    tree: pathlib.Path = instances.ROOT
    day_s: float = sites.DAY_S


class SiteDeployment:
    """All parts of one run."""

    def __init__(self, reactor, seed, folder, options):
        """Start all parts."""
        self.reactor = reactor
        self.options = options
        self.rng = random.Random(seed)
        self._begun_s = reactor.seconds()
        self._delayed = set()
        self.ledger = models.Ledger()
        self.store = site_operator.SiteStore(reactor)
        self.store.rng = self.rng
        self.store.page_items = PAGE_ITEMS
        self.operator = site_operator.SiteOperator(self, options.factor)
        self.accounts = {
            key: name
            for name, keys in zip(site_operator.ACCOUNTS, self.operator.keys, strict=True)
            for key in keys
        }
        self.servers = []
        for route in sites.ROUTES:
            for domain, count in zip(sites.DOMAINS, sites.SERVERS, strict=True):
                for _ in range(count):
                    self.add_server(route.service_id, domain, 'v1')
        store_port = int(self.store.address.rpartition(':')[2])
        members = [
            instances.Instance(
                reactor, self.ledger, self.clock_s, number, store_port, folder, domain, options.tree
            )
            for number, domain in enumerate(sites.INSTANCE_DOMAINS)
        ]
        self.fleet = instances.Fleet(members)
        self.store.fleet = self.fleet
        keys = [tuple(each) for each in self.operator.keys]
        self.traffic = site_callers.Traffic(self, options.factor, random.Random(seed), keys)
        self._prober = site_callers.Caller(self, sites.DOMAINS[0], self.rng, 'probe', keys[0][0])

    def clock_s(self):
        """Return the time since the start of the run."""
        return self.reactor.seconds() - self._begun_s

    def sleep(self, delay_s):
        """Return a deferred that fires after a time."""
        return task.deferLater(self.reactor, max(delay_s, 0))

    def later(self, delay_s, function, *arguments):
        """Call a function later, unless the run has ended."""

        def call():
            self._delayed.discard(delayed)
            function(*arguments)

        delayed = self.reactor.callLater(delay_s, call)
        self._delayed.add(delayed)

    def add_server(self, service_id, domain, version):
        """Start a backend server and return it."""
        route = next(each for each in sites.ROUTES if each.service_id == service_id)
        added = site_servers.Server(self, route, len(self.servers), domain, version)
        self.servers.append(added)
        return added

    def nearest(self, domain, rng):
        """Return the numbers of the instances, those of the domain first."""
        region = domain.partition('-')[0]
        return sorted(
            range(self.fleet.size),
            key=lambda number: (
                sites.INSTANCE_DOMAINS[number] != domain,
                not sites.INSTANCE_DOMAINS[number].startswith(region),
                rng.random(),
            ),
        )

    def resolve(self, domain):
        """Return the target of a look-up."""
        region = domain.partition('-')[0]
        return f'/resolve?name={site_callers.HOST}&region={region}&zone={domain}'

    def probe(self, added, removed, moved):
        """Ask each instance for routes that the configuration has just added, removed or moved."""
        route = sites.ROUTES[2]
        for number in range(self.fleet.size):
            prober = site_callers.Caller(
                self,
                sites.DOMAINS[0],
                self.rng,
                f'p{self.clock_s():.2f}-{number}',
                self._prober.key,
            )
            prober.aim(number)
            for path, expected in (
                (f'/idle-{added}/1/60', route.service_id),
                (f'/idle-{removed}/1/60', ''),
                ('/moved/1/60', moved),
            ):
                asked = dataclasses.replace(route, service_id=expected)
                defer.ensureDeferred(prober.request(asked, path))

    async def run(self, events):
        """Play the events under load; return the broken promises."""
        watching = defer.ensureDeferred(self._watch())
        await self._until_ready()
        player = site_events.Player(self)
        for event in events:
            self.later(event.at_s, player.begin, event)
        until_s = self.clock_s() + self.options.day_s
        await self.traffic.run(until_s)
        watching.cancel()
        await watching
        return site_checks.violations(self.ledger, until_s)

    async def close(self):
        """End all parts."""
        for delayed in tuple(self._delayed):
            delayed.cancel()
        pending = [closing for member in self.fleet.members for closing in member.close()]
        pending.extend(server.close() for server in self.servers)
        pending.append(self.store.close())
        await defer.DeferredList([each for each in pending if each is not None])

    async def _until_ready(self):
        """Wait for the lead time, and until all instances are ready or late."""
        await self.sleep(sites.LEAD_S)
        while self.clock_s() < START_MAX_S:
            if all(member.was_ready for member in self.fleet.members):
                return
            await self.sleep(0.1)

    async def _watch(self):
        """Ask each second which instances are ready, and what they hold."""
        asker = site_callers.Caller(self, sites.DOMAINS[0], self.rng, 'platform', '')
        try:
            while True:
                for member in self.fleet.members:
                    defer.ensureDeferred(self._ask(asker, member))
                    self._check_memory(member)
                began_s = self.clock_s()
                await self.sleep(models.USAGE_INTERVAL_S)
                self._note_lag(began_s)
        except defer.CancelledError:
            return

    def _note_lag(self, began_s):
        """Note that the store was slow: it answers from this process, which was late itself."""
        now_s = self.clock_s()
        if now_s - began_s > models.USAGE_INTERVAL_S + LAG_MAX_S:
            self.ledger.disturbed.append(models.Trouble(began_s, now_s, is_core=True))
            self.ledger.late_count += 1

    def _check_memory(self, member):
        """Note what an instance holds; the platform kills one that exceeds the memory of its machine."""
        for usage in member.usage():
            self.ledger.usages.append(usage)
            if usage.memory_mb > sites.MEMORY_MB:
                member.kill()
                self.ledger.notes.append(
                    f'FAULT: instance {member.number} was killed at {usage.memory_mb:.0f} MB'
                )

    async def _ask(self, asker, member):
        started_s = member.started_s
        answer = await asker.fetch(instances.HOST, member.ports['readiness'], '/readiness', READY_S)
        if member.started_s != started_s:
            # The process has been started anew in the meantime.
            return
        if answer.status == 200:
            member.was_ready = True
        now_s = self.clock_s()
        took_s = now_s - started_s - self.ledger.waited_s(member.number, started_s, now_s)
        late = not member.was_ready and took_s > READY_S
        if late and self.ledger.is_calm(started_s - 1, now_s, member.number):
            member.was_ready = True
            self.ledger.notes.append(
                f'FAULT: instance {member.number} is not ready {took_s:.1f} s after its start at {started_s:.2f}'
            )


async def play(reactor, seed, folder=None, options=Options()):
    """Play one run; return its events, the broken promises and what was counted."""
    events = sites.draw(random.Random(seed), seed, options.day_s)
    with tempfile.TemporaryDirectory() as temporary:
        played = SiteDeployment(reactor, seed, pathlib.Path(folder or temporary), options)
        try:
            found = await played.run(events)
        finally:
            await played.close()
    return events, found, site_checks.summary(played.ledger)
