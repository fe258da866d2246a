"""The operators' deployment on loopback, with its day of events."""

import dataclasses
import json
import math
import pathlib
import random
import tempfile

from twisted.internet import defer
from twisted.internet import task

from tests.soak import deployment
from tests.soak import instances
from tests.soak import models
from tests.soak import sites
from tests.soak import site_callers
from tests.soak import site_checks
from tests.soak import site_events
from tests.soak import site_servers

IDLE_ROUTES = 8
PAGE_ITEMS = 200
FACTOR = 0.25
PROBE_AFTER_S = models.CONFIGURATION_S + 0.1
READY_S = 10.0
START_MAX_S = 60.0
_NEW_VERSION_STOP_S = 4.0
_ACCOUNTS = tuple(f'workshop-{number}' for number in range(len(sites.ACCOUNT_SHARES)))


class SiteStore(deployment.SoakStore):
    """The store, which can also be slow or lose a share of its answers."""

    delay_s = 0.0
    lost_share = 0.0
    rng = None

    @property
    def is_reachable(self):
        """Return whether backend servers and the operator can write."""
        return not self.silent and self.status is None

    def serve(self):
        """Serve all as usual."""
        self.silent = False
        self.status = None
        self.delay_s = self.lost_share = 0.0

    def cut(self):
        """Reset all connections."""
        self._site.abort()

    def _respond(self, exchange, response):
        if self.lost_share and self.rng.random() < self.lost_share:
            exchange._channel.transport.abortConnection()
            return
        respond = super()._respond
        self._reactor.callLater(self.delay_s, respond, exchange, response)


class SiteOperator(deployment.Operator):
    """Writes configurations, rollouts and evacuations of the sites.

    Attributes
    ----------
    keys
        The keys of each account that hold.
    """

    def __init__(self, world, factor):
        """Write the first configuration."""
        self._world = world
        self._factor = factor
        self.keys = [[f'key-{name}-1', f'key-{name}-2'] for name in _ACCOUNTS]
        self._quota = 1.0
        self._idle = list(range(IDLE_ROUTES))
        self._moved = sites.ROUTES[2].service_id
        super().__init__(world.store, world.ledger, world.clock_s)

    def change(self, how):
        """Write a configuration with a change: rates, a service, a timeout, or an idle route."""
        match how:
            case 'quota':
                self._quota = 1.3 if self._quota < 1 else 0.8
            case 'route':
                moved = {'ordertrack': 'stockbook', 'stockbook': 'ordertrack'}
                self._moved = moved[self._moved]
        removed = self._idle.pop(0)
        self._idle.append(self._idle[-1] + 1)
        self._when_reachable(self._write)
        self._world.later(PROBE_AFTER_S, self._world.probe, self._idle[-1], removed, self._moved)

    def revoke(self):
        """Withdraw the second key of an account that has one."""
        left = [keys for keys in self.keys if len(keys) > 1]
        if not left:
            return
        withdrawn = self._world.rng.choice(left).pop()

        def write():
            self._write()
            self._ledger.revoked_s[withdrawn] = self._clock_s()

        self._when_reachable(write)

    def evacuate(self, domain, duration_s):
        """Take a failure domain out of use for some time."""

        def write():
            self._store.put(f'op/evacuate/{domain}', b'{}')
            began_s = self._clock_s()
            evacuation = models.Evacuation(domain, began_s, math.inf)
            self._ledger.evacuations.append(evacuation)
            self._world.later(duration_s, self._when_reachable, end, evacuation)

        def end(evacuation):
            evacuation.ended_s = self._clock_s()
            self._store.delete(f'op/evacuate/{domain}')

        self._when_reachable(write)

    def roll_out(self, rollout, old, added):
        """Order a rollout, and stop the servers that it leaves unused."""
        service_id = rollout.service_id
        body = {
            'service': service_id,
            'targetVersion': rollout.version,
            'duration': f'{rollout.duration_s:g}s',
        }

        def write():
            self._store.put(f'op/rollout/{service_id}', json.dumps(body).encode())
            rollout.began_s = self._clock_s()
            self._ledger.rollouts.append(rollout)
            self._world.later(0.2, follow)

        def follow():
            key = f'status/rollout/{service_id}'.encode()
            found = self._store.database.read((key, b''))
            status = json.loads(found[0].body) if found else {}
            state = status.get('state') if status.get('targetVersion') == rollout.version else None
            if state == 'completed':
                rollout.state = state
                for each in old:
                    each.crash()
            elif state == 'rolled_back':
                rollout.state = state
                for each in added:
                    self._world.later(
                        _NEW_VERSION_STOP_S, lambda left: left.is_up and left.leave(), each
                    )
            else:
                self._world.later(0.2, follow)

        self._when_reachable(write)

    def _when_reachable(self, write, *arguments):
        if self._store.is_reachable:
            write(*arguments)
        else:
            self._world.later(0.2, self._when_reachable, write, *arguments)

    def _document(self):
        columns = (
            *('name', 'host', 'pathPrefix', 'routeType', 'timeout', 'service'),
            *('maxAttempts', 'targetLatency', 'priority'),
        )
        rows = [
            self._row(route.service_id, route.path, route.service_id, route)
            for route in sites.ROUTES
        ]
        rows.append(self._row('moved', '/moved/', self._moved, sites.ROUTES[2]))
        rows.extend(
            self._row(
                f'idle-{number}', f'/idle-{number}/', sites.ROUTES[2].service_id, sites.ROUTES[2]
            )
            for number in self._idle
        )
        services = [
            [
                route.service_id,
                '/health',
                sites.CONNECTIONS_MAX,
                f'{sites.COLD_S:g}s',
                sites.COLD_RATE_PER_S,
            ]
            for route in sites.ROUTES
        ]
        accounts = [
            [name, keys, *self.quota(number)]
            for number, (name, keys) in enumerate(zip(_ACCOUNTS, self.keys, strict=True))
        ]
        self._ledger.configured_s.append(self._clock_s())
        self._ledger.quotas.append([self.quota(number) for number in range(len(accounts))])
        return {
            'version': f'r{self._version}',
            'routes': {'columns': columns, 'rows': rows},
            'services': {
                'columns': ['name', 'healthPath', 'maxConns', 'coldStart', 'coldPerS'],
                'rows': services,
            },
            'tenants': {'columns': ['name', 'apiKeys', 'ratePerS', 'burst'], 'rows': accounts},
            'limits': {
                'maxHeaderBytes': 16_384,
                'maxBodyBytes': 1_048_576,
                'headerTimeout': '3s',
                'idleTimeout': '12s',
            },
        }

    def valid_key(self, key):
        """Return a key that holds, of the account of another key."""
        number = _ACCOUNTS.index(self._world.accounts[key])
        return self.keys[number][0]

    def quota(self, number):
        """Return the rate and the burst of an account."""
        total = sum(route.rate_per_s for route in sites.ROUTES) * self._factor
        rate = total * sites.ACCOUNT_SHARES[number] * sites.QUOTA_FACTOR * self._quota
        return round(rate, 1), round(rate, 1)

    def _row(self, name, path, service_id, route):
        kind = 'safe' if route.idempotent else 'unsafe'
        times = f'{route.timeout_s * 1000:g}ms', f'{route.objective_s * 1000:g}ms'
        return [name, HOST, path, kind, times[0], service_id, 2, times[1], route.priority]


HOST = site_callers.HOST


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
        self.store = SiteStore(reactor)
        self.store.rng = self.rng
        self.store.page_items = PAGE_ITEMS
        self.operator = SiteOperator(self, options.factor)
        self.accounts = {
            key: name
            for name, keys in zip(_ACCOUNTS, self.operator.keys, strict=True)
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
        return f'/resolve?name={HOST}&region={region}&zone={domain}'

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
                await self.sleep(models.USAGE_INTERVAL_S)
        except defer.CancelledError:
            return

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
