"""Callers of the site: they look up instances, keep connections, pipeline and repeat as permitted."""

import bisect
import itertools
import json
import math
import random

from twisted.internet import defer

from tests.soak import connections
from tests.soak import models
from tests.soak import proxy
from tests.soak import sites

HOST = 'shop.example'
LOOKUPS_MAX = 3
# Callers use a connection that has been idle for four fifths of the configured limit at most.
IDLE_S = 9.6
TTL_MAX_S = 5.0
STALE_FACTOR = 3
PIPELINE_MAX = 4
DENIALS_MAX = 3
TICK_S = 0.02
LOOKUP_PAUSE_S = 0.5
REFUSED_PAUSE_S = 0.1
RETRIES = 1
_PROMISES = frozenset((408, 421, 429, 503))
_FINAL = frozenset((400, 401, 403, 404, 413, 431))


class Caller:
    """One caller with its connections and what it knows of the instances.

    Attributes
    ----------
    leaves_after
        Share of the deadline after which it gives up, or ``None``.
    extra_retries
        Retries beyond the usual, which it sends at once.
    """

    def __init__(self, world, domain, rng, name, key):
        """Know nothing yet."""
        self._world = world
        self._domain = domain
        self._rng = rng
        self._name = name
        self.key = key
        self.leaves_after = None
        self.extra_retries = 0
        self._connections = {}
        self._known = ()
        self._looked_up_s = -math.inf
        self._ttl_s = 0.0
        self._patience = STALE_FACTOR if rng.random() < 0.1 else 1
        self._count = 0
        self._denials = 0

    async def request(self, route, path=None, key=None):
        """Send a request, and again where the protocol permits it."""
        clock_s = self._world.clock_s
        due_s = clock_s() + route.deadline_s
        retries = RETRIES + self.extra_retries
        is_fresh = False
        failed = set()
        while clock_s() < due_s:
            await self._look_up()
            sent = await self._attempt(route, path, key or self.key, due_s, is_fresh, failed)
            if sent is None:
                continue
            if sent.end == 'refused':
                failed.add(sent.instance)
                await self._world.sleep(REFUSED_PAUSE_S)
            if sent.end in {'refused', 'unread'}:
                is_fresh = sent.end == 'refused'
                continue
            self._note_denial(sent)
            if retries == 0 or not _may_repeat(sent):
                return
            retries -= 1
            is_fresh = True
            if sent.retry_after_s and not self.extra_retries:
                await self._world.sleep(min(sent.retry_after_s, (due_s - clock_s()) / 3))

    def close(self):
        """Close all connections."""
        for kept in self._connections.values():
            for connection in kept:
                connection.close('left')

    def _note_denial(self, sent):
        """Use the other key of the account once a key has been denied several times."""
        if sent.status != 401:
            return
        self._denials += 1
        if self._denials > DENIALS_MAX:
            self._denials = 0
            self.key = self._world.operator.valid_key(self.key)

    async def _attempt(self, route, path, key, due_s, is_fresh, failed):
        """Return the request as it ended; ``None`` if there was no connection."""
        number = None
        connection = None if is_fresh else self._idle(route)
        if connection is None:
            number = self._choose(failed)
            if number is None:
                await self._world.sleep(0.1)
                return None
            link = self._world.fleet.members[number].links['caller']
            connection = await self._open(proxy.HOST, link.port, link)
            if connection is None:
                failed.add(number)
                return None
            connection.number = number
            self._connections.setdefault(route.is_pipelined, []).append(connection)
        sent, content = self._make(route, path, key, due_s, connection.number)
        finished = connection.send(sent, content)
        wait_s = max(due_s - self._world.clock_s(), 0)
        if self.leaves_after is not None:
            wait_s *= self.leaves_after
        timer = self._world.reactor.callLater(wait_s, connection.leave, sent, 'left')
        await finished
        if timer.active():
            timer.cancel()
        return sent

    def _idle(self, route):
        kept = []
        found = None
        limit = PIPELINE_MAX if route.is_pipelined else 1
        for connection in self._connections.get(route.is_pipelined, ()):
            is_stale = self._world.clock_s() - connection.used_s > IDLE_S and not connection.pending
            if not connection.is_open or is_stale or connection.number not in self._known:
                if not connection.pending:
                    connection.close('left')
                    continue
            elif len(connection.pending) < limit and connection.has_served:
                found = connection
            kept.append(connection)
        self._connections[route.is_pipelined] = kept
        return found

    def _choose(self, failed):
        left = [number for number in self._known if number not in failed]
        return self._rng.choice(left or self._known) if self._known else None

    async def _open(self, host, port, link=None):
        world = self._world
        connection = connections.Connection(world.ledger, world.clock_s, link)
        return await connections.connect(world.reactor, host, port, connection)

    def _make(self, route, path, key, due_s, number):
        self._count += 1
        attempt_id = f'{self._name}-{self._count}'
        body_bytes = 40 + int(self._rng.expovariate(1 / route.body_bytes))
        sent = models.Sent(
            attempt_id,
            route.idempotent,
            key,
            number,
            self._world.clock_s(),
            account_id=self._world.accounts.get(key, ''),
            path=path or f'{route.path}{self._rng.randrange(30)}/{body_bytes}',
            service_id=route.service_id,
            is_probe=path is not None,
            timeout_s=route.timeout_s,
            due_s=due_s,
        )
        self._world.ledger.sent[attempt_id] = sent
        left_ms = max(1, int((due_s - sent.sent_s) * 1000))
        lines = [
            f'{"GET" if route.idempotent else "POST"} {sent.path} HTTP/1.1',
            f'Host: {HOST}',
            f'Authorization: Bearer {key}',
            f'X-Rhubarbspar-Attempt-Id: {attempt_id}',
            f'X-Rhubarbspar-Deadline-Ms: {left_ms}',
        ]
        body = '' if route.idempotent else 'b' * self._rng.randrange(50, 600)
        if body:
            lines.append(f'Content-Length: {len(body)}')
        return sent, '\r\n'.join((*lines, '', body)).encode()

    async def _look_up(self):
        """Ask up to three instances, the nearest first, where to connect."""
        world = self._world
        if world.clock_s() - self._looked_up_s < self._ttl_s * self._patience:
            return
        self._looked_up_s = world.clock_s()
        self._ttl_s = max(self._ttl_s, LOOKUP_PAUSE_S)
        for number in world.nearest(self._domain, self._rng)[:LOOKUPS_MAX]:
            port = world.fleet.directory_port(number)
            answer = await self.fetch(proxy.HOST, port, world.resolve(self._domain))
            if answer.status == 200:
                document = json.loads(answer.body)
                known = [world.fleet.by_address(each) for each in document['frontAddresses']]
                if known:
                    self._known = tuple(known)
                    self._ttl_s = min(_seconds(document['ttl']), TTL_MAX_S)
                    return

    def aim(self, number):
        """Use one instance and look no others up."""
        self._known = (number,)
        self._looked_up_s = math.inf

    async def fetch(self, host, port, target, wait_s=connections.CONNECT_S):
        """Return the answer to a request on a connection of its own; status 0 without one."""
        answer = models.Sent('', True, '', -1, self._world.clock_s())
        connection = await self._open(host, port)
        if connection is None:
            return answer
        finished = connection.send(
            answer, f'GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode()
        )
        timer = self._world.reactor.callLater(wait_s, connection.leave, answer, 'left')
        await finished
        if timer.active():
            timer.cancel()
        connection.close('left')
        return answer


class Traffic:
    """Requests of all callers, at the rates of the sites."""

    def __init__(self, world, factor, rng, keys):
        """Create the callers; ``keys`` names the keys of each account."""
        self._world = world
        self._factor = factor
        self._rng = rng
        self.burst = 1.0
        self.hot_keys = ()
        self.hot_share = 0.0
        self.shifted = {}
        self.callers = {}
        count = math.ceil(sites.CALLERS_PER_DOMAIN * factor)
        accounts = _accounts(count * len(sites.DOMAINS), keys)
        rng.shuffle(accounts)
        for domain in sites.DOMAINS:
            self.callers[domain] = [
                self._make_caller(domain, number, accounts.pop()) for number in range(count)
            ]

    async def run(self, until_s):
        """Send requests until a time, and wait for the last ones."""
        begun_s = last_s = self._world.clock_s()
        running = set()
        while self._world.clock_s() < until_s:
            now_s = self._world.clock_s() - begun_s
            passed_s = self._world.clock_s() - last_s
            last_s += passed_s
            for domain, phase in zip(sites.DOMAINS, sites.WAVE_PHASES, strict=True):
                wave = math.sin(2 * math.pi * (now_s / sites.WAVE_PERIOD_S + phase))
                factor = (
                    (1 + sites.WAVE_SWING * wave) * self._factor * self.burst / len(sites.DOMAINS)
                )
                for route in sites.ROUTES:
                    for _ in range(self._draw_count(route.rate_per_s * factor * passed_s)):
                        started = defer.ensureDeferred(self._caller(domain).request(route))
                        running.add(started)
                        started.addBoth(
                            lambda passed, each: running.discard(each) or passed, started
                        )
            await self._world.sleep(TICK_S)
        await defer.DeferredList(list(running))
        for caller in self.all_callers():
            caller.close()

    def all_callers(self):
        """Return the callers of all domains."""
        return [caller for callers in self.callers.values() for caller in callers]

    def _caller(self, domain):
        target, share = self.shifted.get(domain, (domain, 0.0))
        place = target if self._rng.random() < share else domain
        callers = self.callers[place]
        if self._rng.random() < self.hot_share:
            callers = [each for each in callers if each.key in self.hot_keys] or callers
        return self._rng.choice(callers)

    def _draw_count(self, mean):
        count = int(mean)
        return count + (self._rng.random() < mean - count)

    def _make_caller(self, domain, number, keys):
        name = f'{domain}-{number}'
        seeded = random.Random(self._rng.random())
        return Caller(self._world, domain, seeded, name, self._rng.choice(keys))


def _may_repeat(sent):
    if sent.end == 'left' or sent.status in _FINAL or 200 <= sent.status < 300:
        return False
    return sent.idempotent or sent.status in _PROMISES


def _accounts(count, keys):
    """Return the keys of the account of each caller, by the shares of the accounts."""
    ends = tuple(itertools.accumulate(sites.ACCOUNT_SHARES))
    last = len(ends) - 1
    places = ((number + 0.5) / count for number in range(count))
    return [keys[min(bisect.bisect(ends, place), last)] for place in places]


def _seconds(text):
    return float(text[:-2]) / 1000 if text.endswith('ms') else float(text[:-1])
