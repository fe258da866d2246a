"""A whole deployment on loopback: store, backend servers, gateways, callers and an operator."""

import json
import pathlib
import random
import tempfile

from twisted.internet import defer
from twisted.internet import task

from tests.platform import standin
from tests.soak import backends
from tests.soak import callers
from tests.soak import checks
from tests.soak import faults
from tests.soak import instances
from tests.soak import models
from tests.soak import pipelining

INSTANCES = 6
SERVERS_PER_SERVICE = 4
CALLERS = 10
PIPELINING_CALLERS = 2
KEYS = ('key-1', 'key-2', 'key-3')
START_S = 12.0


class SoakStore(standin.Store):
    """The store; registrations of instances lead their peers through the proxies."""

    fleet = None

    def _item(self, record):
        item = super()._item(record)
        if self.fleet is not None and record.key.startswith(b'fleet/instances/') and record.version:
            raw = self.fleet.proxied_peer(record.body)
            item['value'] = standin.base64.b64encode(raw).decode()
        return item


class Operator:
    """Writes configurations."""

    def __init__(self, store, ledger, clock_s):
        """Write the first one."""
        self._store = store
        self._ledger = ledger
        self._clock_s = clock_s
        self._version = 0
        self._routes = 0
        self._keys = list(KEYS)
        self._write()

    def add_route(self):
        """Add a route that nobody uses."""
        self._routes += 1
        self._write()

    def revoke(self):
        """Withdraw a key, unless it is the last one."""
        if len(self._keys) > 1:
            withdrawn = self._keys.pop()
            self._write()
            self._ledger.revoked_s[withdrawn] = self._clock_s()

    def _write(self):
        self._version += 1
        self._store.put('op/config', json.dumps(self._document()).encode())

    def _document(self):
        added = [
            [f'r-{number}', 'shop.example', f'/new-{number}/', 'safe', '2s', 'stock', 2]
            for number in range(self._routes)
        ]
        columns = ['name', 'host', 'pathPrefix', 'routeType', 'timeout', 'service', 'maxAttempts']
        rows = [
            ['reads', 'shop.example', '/stock/', 'safe', '2s', 'stock', 2],
            ['orders', 'shop.example', '/orders/', 'unsafe', '2s', 'orders', 2],
            *added,
        ]
        return {
            'version': f'r{self._version}',
            'routes': {'columns': columns, 'rows': rows},
            'services': {'columns': ['name'], 'rows': [['stock'], ['orders']]},
            'tenants': {'columns': ['name', 'apiKeys'], 'rows': [['workshop', self._keys]]},
        }


class Deployment:
    """All parts of one run."""

    def __init__(self, reactor, seed, folder, tree=instances.ROOT):
        """Start all parts."""
        self._reactor = reactor
        self._rng = random.Random(seed)
        self._begun_s = reactor.seconds()
        self.ledger = models.Ledger()
        self.store = SoakStore(reactor)
        self.operator = Operator(self.store, self.ledger, self.clock_s)
        self.backends = [
            backends.Backend(
                reactor,
                self.store,
                self.ledger,
                self.clock_s,
                service_id,
                number,
                instances.DOMAINS[number % len(instances.DOMAINS)],
            )
            for service_id in ('stock', 'orders')
            for number in range(SERVERS_PER_SERVICE)
        ]
        store_port = int(self.store.address.rpartition(':')[2])
        members = [
            instances.Instance(
                reactor, self.ledger, self.clock_s, number, store_port, folder, tree=tree
            )
            for number in range(INSTANCES)
        ]
        self.fleet = instances.Fleet(members)
        self.store.fleet = self.fleet

    def clock_s(self):
        """Return the time since the start of the run."""
        return self._reactor.seconds() - self._begun_s

    async def run(self, schedule):
        """Play the faults under load; return the broken promises.

        Parameters
        ----------
        schedule
            Faults with times from the begin of the load.
        """
        await self._until_registered()
        injector = faults.Injector(self._reactor, self)
        for fault in schedule:
            self._reactor.callLater(fault.at_s, injector.begin, fault)
        faults_end_s = self.clock_s() + max(fault.ends_s for fault in schedule)
        until_s = faults_end_s + models.GRACE_S + faults.RECOVERY_S
        running = [
            defer.Deferred.fromCoroutine(self._caller(number).run(until_s))
            for number in range(CALLERS + PIPELINING_CALLERS)
        ]
        await defer.gatherResults(running)
        return checks.violations(self.ledger, until_s)

    async def close(self):
        """End all parts."""
        pending = [closing for member in self.fleet.members for closing in member.close()]
        pending.extend(backend.close() for backend in self.backends)
        pending.append(self.store.close())
        await defer.DeferredList([each for each in pending if each is not None])

    def _caller(self, number):
        kind = callers.Caller if number < CALLERS else pipelining.PipeliningCaller
        return kind(
            self._reactor,
            self.fleet,
            self.ledger,
            self.clock_s,
            random.Random(self._rng.random()),
            f'c{number}',
            KEYS[number % len(KEYS)],
        )

    async def _until_registered(self):
        until_s = self.clock_s() + START_S
        while self.clock_s() < until_s:
            if all(self._is_registered(member) for member in self.fleet.members):
                return
            await task.deferLater(self._reactor, 0.05)
        missing = [each.number for each in self.fleet.members if not self._is_registered(each)]
        raise TimeoutError(f'instances {missing} have not registered')

    def _is_registered(self, member):
        return self.store.database.mod_revision(b'fleet/instances/front-%d' % member.number)


async def play(reactor, seed, folder=None, tree=instances.ROOT):
    """Play one run.

    Parameters
    ----------
    seed
        Decides on the faults and on what the callers ask.
    folder
        Where the logs of the instances are kept; a temporary one if omitted.
    tree
        Checkout whose gateways are played.

    Returns
    -------
    tuple
        The faults, the broken promises and what was counted.
    """
    schedule = faults.draw(random.Random(seed))
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(reactor, seed, pathlib.Path(folder or temporary), tree)
        try:
            found = await deployment.run(schedule)
        finally:
            await deployment.close()
    return schedule, found, f'{len(deployment.ledger.sent)} requests'
