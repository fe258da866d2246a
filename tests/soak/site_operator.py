"""The store and the operator of the site."""

import json
import math

from tests.soak import deployment
from tests.soak import models
from tests.soak import site_callers
from tests.soak import sites

IDLE_ROUTES = 8
PROBE_AFTER_S = models.CONFIGURATION_S + 0.1
ACCOUNTS = tuple(f'workshop-{number}' for number in range(len(sites.ACCOUNT_SHARES)))
_NEW_VERSION_STOP_S = 4.0


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
        self.keys = [[f'key-{name}-1', f'key-{name}-2'] for name in ACCOUNTS]
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
            for number, (name, keys) in enumerate(zip(ACCOUNTS, self.keys, strict=True))
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
        number = ACCOUNTS.index(self._world.accounts[key])
        return self.keys[number][0]

    def quota(self, number):
        """Return the rate and the burst of an account."""
        total = sum(route.rate_per_s for route in sites.ROUTES) * self._factor
        rate = total * sites.ACCOUNT_SHARES[number] * sites.QUOTA_FACTOR * self._quota
        return round(rate, 1), round(rate, 1)

    def _row(self, name, path, service_id, route):
        kind = 'safe' if route.idempotent else 'unsafe'
        times = f'{route.timeout_s * 1000:g}ms', f'{route.objective_s * 1000:g}ms'
        return [
            name,
            site_callers.HOST,
            path,
            kind,
            times[0],
            service_id,
            2,
            times[1],
            route.priority,
        ]
