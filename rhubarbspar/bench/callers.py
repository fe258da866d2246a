"""Callers in every region: cached look-ups, requests, and repeats by the rules of ``standins.caller``."""

import dataclasses
import functools
import http
import itertools
import random
import typing

from rhubarbspar import const as package_const
from rhubarbspar.bench import backends
from rhubarbspar.bench import deployment
from rhubarbspar.bench import wide_fleet
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models
from rhubarbspar.server import problems
from rhubarbspar.standins import const as standin_const

ADDRESS_BLOCKS: typing.Final = ('192.0.2', '198.51.100', '203.0.113')
CONNECT_TIMEOUT_MS: typing.Final = 1_000
REASON_NO_LOOKUP: typing.Final = 'no_lookup'
REASON_NOT_SENT: typing.Final = 'not_sent'
RUN_SHARE_POST: typing.Final = 0.3
TARGETS: typing.Final = 50


@dataclasses.dataclass
class Call:
    """A request of a caller with its repeats.

    Attributes
    ----------
    result
        ``None`` while it is under way, else the last result.
    heard
        Whether an answer or refusal of an instance came to the last attempt.
    """

    number: int
    account_id: str
    region: str
    service_id: str
    method: str
    route: configuration_models.Route
    service_time_ms: float
    started_ms: float
    attempts: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    key: str | None = None
    may_have_run: bool = False
    result: models.Outcome | None = None
    heard: bool = False
    ended_ms: float = 0

    @property
    def unanswered(self) -> bool:
        """Tell whether the caller does not know if the request ran."""
        refused = isinstance(self.result, models.Refused)
        return refused and (self.may_have_run or not self.heard)

    @property
    def answered(self) -> bool:
        """Tell whether the response came."""
        return isinstance(self.result, models.Answered)

    @property
    def added_ms(self) -> float:
        """Return the latency without the service time."""
        return self.ended_ms - self.started_ms - self.service_time_ms


@dataclasses.dataclass
class Found:
    """A look-up answer in a caller's cache; ``waiting`` holds calls while it is under way."""

    instances: tuple[str, ...] = ()
    prefix: str | None = None
    expires_ms: float = float('-inf')
    waiting: list[Call] = dataclasses.field(default_factory=list)
    asked: int = 0
    open_lookup: str = ''


Place: typing.TypeAlias = tuple[str, str, str]


class Callers:
    """One caller per account, region and service."""

    def __init__(self, fleet: wide_fleet.Fleet, seed: int) -> None:
        """Send nothing yet."""
        self.calls: list[Call] = []
        # Rates hold for requests with a key only; an account above its rate sends no others.
        self.keyed_only = ''
        self._fleet = fleet
        self._found: dict[Place, Found] = {}
        self._generator = random.Random(seed)
        self._lookups: dict[str, Place] = {}
        self._numbers = itertools.count()
        self._open: dict[str, tuple[Call, str]] = {}
        fleet.listeners.append(self._on_effect)

    def send_load(self, rates_per_s: dict[str, float], end_ms: float) -> None:
        """Send requests of each account with exponential gaps until a time."""
        for account_id, rate_per_s in rates_per_s.items():
            self._next(account_id, rate_per_s, end_ms)

    def all_ended(self) -> bool:
        """Tell whether no call is under way."""
        return all(call.ended_ms for call in self.calls)

    def lose_connections(self, instance_id: str) -> None:
        """Tell callers whose connections an instance's end has broken."""
        for attempt_id, (_, at) in list(self._open.items()):
            if at == instance_id:
                self._fleet.schedule(
                    deployment.CLIENT_DELAY_MS, functools.partial(self._lost, attempt_id)
                )

    def _next(self, account_id: str, rate_per_s: float, end_ms: float) -> None:
        gap_ms = self._generator.expovariate(rate_per_s) * package_const.MS_PER_S
        if self._fleet.now_ms + gap_ms < end_ms:
            arrival = functools.partial(self._arrival, account_id, rate_per_s, end_ms)
            self._fleet.schedule(gap_ms, arrival)

    def _arrival(self, account_id: str, rate_per_s: float, end_ms: float) -> None:
        self._next(account_id, rate_per_s, end_ms)
        deployed = self._fleet.deployed
        services = deployed.service_ids
        weights = [deployed.slots(service_id) for service_id in services]
        service_id = self._generator.choices(services, weights)[0]
        keyed_only = account_id == self.keyed_only
        route, method = self._choose_route(service_id, keyed_only)
        spread = deployment.SERVICE_TIME_SPREAD
        call = Call(
            number=next(self._numbers),
            account_id=account_id,
            region=self._generator.choice(deployed.regions),
            service_id=service_id,
            method=method,
            route=route,
            service_time_ms=deployed.service_time_ms
            * self._generator.uniform(1 - spread, 1 + spread),
            started_ms=self._fleet.now_ms,
        )
        self.calls.append(call)
        self._attempt_next(call)

    def _choose_route(
        self, service_id: str, keyed_only: bool
    ) -> tuple[configuration_models.Route, str]:
        routes = self._fleet.configuration.services[service_id].routes
        once = [route for route in routes if not route.idempotent]
        if once and self._generator.random() < RUN_SHARE_POST:
            return once[0], once[0].methods[0]
        repeatable = [route for route in routes if route.idempotent]
        if keyed_only:
            repeatable = [route for route in repeatable if not route.open_to_all]
        return self._generator.choice(repeatable), 'GET'

    # Look-ups

    def _attempt_next(self, call: Call) -> None:
        place = (call.account_id, call.region, call.service_id)
        found = self._found.setdefault(place, Found())
        if self._fleet.now_ms < found.expires_ms:
            self._attempt(call, found)
            return
        found.waiting.append(call)
        if len(found.waiting) == 1:
            found.asked = 0
            self._look_up(place)

    def _look_up(self, place: Place) -> None:
        """Ask the instances of the caller's region first, then the others."""
        found = self._found[place]
        names = _bootstrap(self._fleet.deployed, place)
        if found.asked >= len(names):
            waiting = found.waiting
            found.waiting = []
            for call in waiting:
                self._refuse(call, REASON_NO_LOOKUP)
            return
        name = names[found.asked]
        found.asked += 1
        lookup_id = f'lookup-{next(self._numbers)}'
        found.open_lookup = lookup_id
        self._lookups[lookup_id] = place
        if name not in self._fleet.nodes:
            self._fleet.schedule(
                2 * wide_fleet.delay_ms(self._fleet, place[1], name),
                functools.partial(self._no_answer, lookup_id),
            )
            return
        no_answer = functools.partial(self._no_answer, lookup_id)
        self._fleet.schedule(standin_const.LOOKUP_TIMEOUT_MS, no_answer)
        if wide_fleet.reaches(self._fleet, place[1], name):
            digest = deployment.digest(place[0])
            event = events.LookupReceived(
                lookup_id, place[2], _address(self._fleet.deployed, place), digest
            )
            self._fleet.dispatch_later(
                name, event, wide_fleet.delay_ms(self._fleet, place[1], name)
            )

    def _no_answer(self, lookup_id: str) -> None:
        place = self._lookups.pop(lookup_id, None)
        if place is not None:
            self._look_up(place)

    def _looked_up(self, instance_id: str, answer: effects.AnswerLookup) -> None:
        place = self._lookups.get(answer.lookup_id)
        if place is None or not wide_fleet.reaches(self._fleet, place[1], instance_id):
            return
        self._lookups.pop(answer.lookup_id)
        if answer.idempotency_key_prefix is None:
            self._look_up(place)
            return
        found = self._found[place]
        found.instances = tuple(entry.instance_id for entry in answer.instances)
        found.prefix = answer.idempotency_key_prefix
        found.expires_ms = self._fleet.now_ms + answer.ttl_ms
        waiting = found.waiting
        found.waiting = []
        for call in waiting:
            self._attempt(call, found)

    # Attempts

    def _attempt(self, call: Call, found: Found) -> None:
        untried = [name for name in found.instances if name not in call.tried]
        name = (untried or found.instances)[0]
        call.tried.add(name)
        call.attempts += 1
        if not call.may_have_run and call.method == 'POST':
            call.key = f'{found.prefix}.{call.number}'
        attempt_id = f'{call.number}-{call.attempts}'
        self._open[attempt_id] = (call, name)
        delay_ms = wide_fleet.delay_ms(self._fleet, call.region, name)
        if name not in self._fleet.nodes:
            self._fleet.schedule(2 * delay_ms, functools.partial(self._not_sent, attempt_id))
        elif not wide_fleet.reaches(self._fleet, call.region, name):
            not_sent = functools.partial(self._not_sent, attempt_id)
            self._fleet.schedule(CONNECT_TIMEOUT_MS, not_sent)
        else:
            send = functools.partial(self._send, attempt_id, call, name)
            self._fleet.schedule(delay_ms, send)

    def _send(self, attempt_id: str, call: Call, name: str) -> None:
        if name not in self._fleet.nodes:
            self._not_sent(attempt_id)
            return
        patience_ms = call.route.timeout_ms + standin_const.CALLER_GRACE_MS
        self._fleet.schedule(patience_ms, functools.partial(self._lost, attempt_id, name))
        open_to_all = call.route.open_to_all
        prefix = call.route.path_prefix.rstrip('/')
        request = models.Request(
            request_id=attempt_id,
            service_id=call.service_id,
            method=call.method,
            target='/'.join((prefix, str(call.number % TARGETS))),
            headers=((backends.HEADER_SERVICE_TIME, str(call.service_time_ms)),),
            body=str(call.number).encode() if call.method == 'POST' else b'',
            access_key_digest=None if open_to_all else deployment.digest(call.account_id),
            idempotency_key=call.key,
            deadline_ms=self._fleet.clock_of(name) + call.route.timeout_ms,
        )
        self._fleet.dispatch_later(name, events.RequestReceived(request))

    def _on_effect(self, instance_id: str, effect: effects.Effect) -> None:
        match effect:
            case effects.AnswerLookup(lookup_id):
                place = self._lookups.get(lookup_id)
                if place is not None:
                    self._fleet.schedule(
                        wide_fleet.delay_ms(self._fleet, place[1], instance_id),
                        functools.partial(self._looked_up, instance_id, effect),
                    )
            case effects.Respond(request_id, outcome):
                answered = functools.partial(self._answered, instance_id, request_id, outcome)
                found = self._open.get(request_id)
                if found is not None:
                    delay_ms = wide_fleet.delay_ms(self._fleet, found[0].region, instance_id)
                    self._fleet.schedule(delay_ms, answered)

    def _answered(self, instance_id: str, attempt_id: str, outcome: models.Outcome) -> None:
        found = self._open.get(attempt_id)
        if found is None or not wide_fleet.reaches(self._fleet, found[0].region, instance_id):
            return
        self._open.pop(attempt_id)
        call = found[0]
        call.heard = True
        call.result = outcome
        match outcome:
            case models.Refused(run=models.ExecutionStatus.NOT_RUN):
                self._repeat_if(call, _is_temporary(outcome))
            case models.Refused():
                call.may_have_run = True
                self._repeat_if(call, call.method == 'GET')
            case _:
                self._end(call)

    def _not_sent(self, attempt_id: str) -> None:
        found = self._open.pop(attempt_id, None)
        if found is not None:
            found[0].heard = True
            found[0].result = models.Refused(REASON_NOT_SENT, models.ExecutionStatus.NOT_RUN)
            self._repeat_if(found[0], True)

    def _lost(self, attempt_id: str, cancel_at: str = '') -> None:
        found = self._open.pop(attempt_id, None)
        if found is None:
            return
        if cancel_at:
            self._fleet.dispatch_later(cancel_at, events.RequestCancelled(attempt_id))
        call = found[0]
        call.heard = False
        call.may_have_run = True
        call.result = models.Refused('lost', models.ExecutionStatus.UNKNOWN)
        self._repeat_if(call, True)

    def _repeat_if(self, call: Call, allowed: bool) -> None:
        if allowed and call.attempts < standin_const.CALLER_ATTEMPTS_MAX:
            self._attempt_next(call)
        else:
            self._end(call)

    def _refuse(self, call: Call, reason: str) -> None:
        call.heard = True
        call.result = models.Refused(reason, models.ExecutionStatus.NOT_RUN)
        self._end(call)

    def _end(self, call: Call) -> None:
        call.ended_ms = self._fleet.now_ms


def _is_temporary(refused: models.Refused) -> bool:
    expired = refused.reason == package_const.REASON_IDEMPOTENCY_KEY_EXPIRED
    status = problems.to_response(refused).status
    return expired or status == http.HTTPStatus.SERVICE_UNAVAILABLE


def _address(deployed: deployment.Deployment, place: Place) -> str:
    block = ADDRESS_BLOCKS[deployed.regions.index(place[1])]
    accounts = list(deployed.configuration.client_accounts)
    host = accounts.index(place[0]) + 1
    return f'{block}.{host}'


def _bootstrap(deployed: deployment.Deployment, place: Place) -> list[str]:
    """Return the instances that a caller asks, those of its region first."""
    names = sorted(deployed.instances)
    random.Random('/'.join(place)).shuffle(names)
    return sorted(names, key=lambda name: deployed.region_of(deployed.instances[name]) != place[1])
