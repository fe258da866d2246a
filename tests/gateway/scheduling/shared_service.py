"""A service that two kinds of request share, for the comparison of ways to schedule them.

A seeded event loop with instances, servers with 3 slots and a queue of 9, and load reports: an instance
knows the load of a server from its own responses, and every 500 ms that of all servers.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import statistics

from rhubarbspar.gateway.routing import overload
from rhubarbspar.gateway.scheduling import decisions
from rhubarbspar.gateway.scheduling import fair_queue
from rhubarbspar.gateway.scheduling import models
from rhubarbspar.gateway.scheduling import scheduler
from rhubarbspar.gateway.scheduling import service_use

SLOTS, QUEUE_MAX = 3, 9
REPORT_MS, TICK_MS = 500, 50


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request; ``share`` is that of all requests."""

    urgency: int
    share: float
    work_ms: float
    objective_ms: float
    deadline_ms: float
    value: float
    late_value: float


UPLOAD = Kind(1, 57 / 187, 600, 721, 4328, 1.4, 0.29)
AUDIT = Kind(2, 130 / 187, 1960, 2577, 10_310, 0.36, 0.11)
LOOKUP = Kind(0, 1, 480, 475, 2967, 1.4, 0.11)
ACCOUNTS = {str(number): 1.0 for number in range(20)}


@dataclasses.dataclass
class Request:
    """A request of a caller; ``answered_ms`` is ``None`` until its response."""

    number: int
    kind: Kind
    account_id: str
    work_ms: float
    arrived_ms: float
    instance: 'Instance'
    tries: int = 1
    sends: int = 0
    answered_ms: float | None = None

    @property
    def due_ms(self):
        """Return the deadline."""
        return self.arrived_ms + self.kind.deadline_ms

    @property
    def value(self):
        """Return what the response is worth to the caller."""
        if self.answered_ms is None or self.answered_ms > self.due_ms:
            return 0
        in_time = self.answered_ms - self.arrived_ms <= self.kind.objective_ms
        return self.kind.value if in_time else self.kind.late_value

    @property
    def is_served(self):
        """Return whether the response came before the deadline."""
        return self.answered_ms is not None and self.answered_ms <= self.due_ms


class Server:
    """A backend server: requests in slots, and in a queue in the order of arrival."""

    def __init__(self):
        self.running = 0
        self.waiting = collections.deque()

    @property
    def load(self):
        """Return the requests at the server."""
        return self.running + len(self.waiting)


class Instance:
    """What an instance knows of each server, its queue, and its requests under way."""

    def __init__(self, servers, mean_ms):
        self.mean_ms = mean_ms
        self.others = [0] * len(servers)
        self.own = [0] * len(servers)
        self.detectors = [overload.StandingQueueDetector() for _ in servers]
        self.queue = fair_queue.FairQueue()
        self.waiting = {}
        self.use = service_use.ServiceUse()

    def load(self, index):
        """Return the estimated load of a server."""
        return self.own[index] + self.others[index]

    def learn(self, index, load):
        """Record a load report."""
        self.others[index] = max(0, load - self.own[index])


class Policy:
    """Decides as the gateway did before: refuses behind standing queues."""

    def decide(self, instance, request, index, now_ms):
        """Return a decision about a request and the server with the lowest load."""
        wait_ms = expected_wait_ms(instance.load(index), instance.mean_ms)
        kind = request.kind
        expected = overload.ExpectedTimes(wait_ms, kind.work_ms, kind.objective_ms)
        if instance.detectors[index].should_refuse(expected, now_ms):
            return models.Refuse('overloaded', kind.work_ms / 2)
        return models.Send()


class AdmissionAlone(Policy):
    """Refuses less urgent requests above a bound on the load, and keeps none."""

    def decide(self, instance, request, index, now_ms):
        """Refuse an audit that finds no free slot."""
        if request.kind is AUDIT and instance.load(index) + 1 > SLOTS:
            usable_ms = (request.due_ms - now_ms) / 3
            return models.Refuse('less_urgent', min(request.kind.work_ms / 2, usable_ms))
        return super().decide(instance, request, index, now_ms)


class QueueAlone(Policy):
    """Keeps what exceeds the own part of all slots, without regard to reports."""

    def __init__(self, part):
        self.part = part

    def decide(self, instance, request, index, now_ms):
        """Send while few own requests are under way; wait otherwise."""
        if sum(instance.own) < self.part:
            return models.Send()
        until_ms = decisions.latest_ms(request.kind.work_ms, request.due_ms)
        if now_ms < until_ms:
            return models.Wait(until_ms)
        return models.Refuse('queue', request.kind.work_ms / 2)


class Both(Policy):
    """The gateway: requests that yield wait in the instance for a server with a free slot."""

    def decide(self, instance, request, index, now_ms):
        """Decide by the load about a request that yields, and about others as before."""
        rank = rank_of(instance, request, now_ms)
        if rank == models.Rank.FIRST:
            return super().decide(instance, request, index, now_ms)
        load = instance.load(index)
        kept_slots = decisions.kept_slots(f'server-{index}', SLOTS)
        wait_ms = expected_wait_ms(load, instance.mean_ms)
        candidate = models.Candidate(load, SLOTS, 0, wait_ms, request.kind.work_ms, kept_slots)
        return decisions.decide(candidate, rank, request.due_ms, now_ms)


def rank_of(instance, request, now_ms):
    """Return how far a request yields."""
    return instance.use.rank(request.kind.urgency, request.account_id, now_ms)


def queue_urgency(request, rank):
    """Return the urgency of a request in the queue of its instance."""
    if rank == models.Rank.OVER_SHARE:
        return scheduler.OVER_SHARE_URGENCY + request.kind.urgency
    return request.kind.urgency


def expected_wait_ms(load, mean_ms):
    """Return the expected time in the queue of a server."""
    return max(0, load - SLOTS + 1) * mean_ms / SLOTS


class Service:
    """The event loop.

    Parameters
    ----------
    demand
        Offered work, as a share of what the slots can do.
    kinds
        The kinds of request that use the service.
    accounts
        Weight of each account in the demand.
    """

    def __init__(
        self,
        policy,
        demand,
        seed=1,
        instances=24,
        servers=12,
        kinds=(UPLOAD, AUDIT),
        accounts=ACCOUNTS,
    ):
        self.random = random.Random(seed)
        self.policy = policy
        self.servers = [Server() for _ in range(servers)]
        self.requests = []
        self.rejected_count = 0
        self.now_ms = 0.0
        self.kinds = kinds
        self.accounts = accounts
        mean_ms = sum(kind.share * kind.work_ms for kind in kinds)
        self.instances = [Instance(self.servers, mean_ms) for _ in range(instances)]
        self.interval_ms = mean_ms / (demand * SLOTS * servers)
        self._events = []
        self._order = itertools.count()

    def run(self, duration_ms):
        """Let requests arrive for some time, and end all of them."""
        arrival_ms = 0.0
        for number in itertools.count():
            arrival_ms += self.random.expovariate(1 / self.interval_ms)
            if arrival_ms > duration_ms:
                break
            self._at(arrival_ms, self._arrive, self._make_request(number, arrival_ms))
        end_ms = duration_ms + AUDIT.deadline_ms
        for position, instance in enumerate(self.instances):
            phase_ms = REPORT_MS * position / len(self.instances)
            for count in range(int(end_ms / REPORT_MS)):
                self._at(phase_ms + count * REPORT_MS, self._report, instance)
            for count in range(int(end_ms / TICK_MS)):
                self._at(phase_ms % TICK_MS + count * TICK_MS, self._examine, instance)
        while self._events:
            self.now_ms, _, action, argument = heapq.heappop(self._events)
            action(argument)

    def served_share(self, kind):
        """Return the share of the requests of a kind that were served in time."""
        return statistics.mean(
            request.is_served for request in self.requests if request.kind is kind
        )

    def account_share(self, account_id):
        """Return the share of the requests of an account that were served in time."""
        return statistics.mean(
            request.is_served for request in self.requests if request.account_id == account_id
        )

    @property
    def value(self):
        """Return the worth of all responses, as a share of the highest possible one."""
        best = sum(request.kind.value for request in self.requests)
        return sum(request.value for request in self.requests) / best

    def _make_request(self, number, arrival_ms):
        kind = self.random.choices(self.kinds, [kind.share for kind in self.kinds])[0]
        work_ms = kind.work_ms * self.random.uniform(0.5, 1.5)
        account_id = self.random.choices(list(self.accounts), weights=list(self.accounts.values()))[
            0
        ]
        instance = self.random.choice(self.instances)
        request = Request(number, kind, account_id, work_ms, arrival_ms, instance)
        self.requests.append(request)
        return request

    def _at(self, time_ms, action, argument):
        heapq.heappush(self._events, (time_ms, next(self._order), action, argument))

    def _arrive(self, request):
        instance, kind = request.instance, request.kind
        instance.use.record_request(kind.urgency, request.account_id, kind.work_ms, self.now_ms)
        head = instance.queue.head()
        rank = rank_of(instance, request, self.now_ms)
        is_blocked = head is not None and head.urgency <= queue_urgency(request, rank)
        if is_blocked and rank != models.Rank.FIRST:
            self._wait(request, decisions.latest_ms(request.kind.work_ms, request.due_ms))
        else:
            self._decide(request)

    def _decide(self, request):
        """Carry out the decision about a request; return whether it left the instance."""
        instance = request.instance
        index = self._least_loaded(instance)
        match self.policy.decide(instance, request, index, self.now_ms):
            case models.Send():
                instance.queue.remove(request.number, is_sent=True)
                self._send(request, index)
            case models.Wait(until_ms):
                if request.number not in instance.waiting:
                    self._wait(request, until_ms)
                return False
            case models.Refuse(_, retry_after_ms):
                self._record(request, is_sent=False)
                instance.queue.remove(request.number)
                self._refuse(request, retry_after_ms)
        instance.waiting.pop(request.number, None)
        return True

    def _wait(self, request, until_ms):
        request.instance.waiting[request.number] = request
        kind = request.kind
        request.instance.use.mark_short(self.now_ms)
        entry = models.WaitingRequest(
            request.number,
            queue_urgency(request, rank_of(request.instance, request, self.now_ms)),
            request.account_id,
            kind.work_ms,
            self.now_ms,
            request.due_ms,
            until_ms,
            0,
        )
        request.instance.queue.push(entry)

    def _least_loaded(self, instance):
        ranked = [
            (instance.load(index), self.random.random(), index)
            for index in range(len(self.servers))
        ]
        return min(ranked)[2]

    def _send(self, request, index):
        instance, server = request.instance, self.servers[index]
        if not request.sends:
            self._record(request, is_sent=True)
        request.sends += 1
        if server.load >= SLOTS + QUEUE_MAX:
            self.rejected_count += 1
            instance.learn(index, server.load)
            if request.sends < 3:
                self._send(request, self._least_loaded(instance))
            else:
                self._refuse(request, request.kind.work_ms / 2)
            return
        instance.own[index] += 1
        if server.running < SLOTS:
            self._start(request, index)
        else:
            server.waiting.append(request)

    def _record(self, request, *, is_sent):
        use = request.instance.use
        if not is_sent:
            use.mark_short(self.now_ms)
        use.record_result(request.kind.urgency, self.now_ms, is_sent=is_sent)

    def _start(self, request, index):
        self.servers[index].running += 1
        self._at(self.now_ms + request.work_ms, self._end, (request, index))

    def _end(self, ended):
        request, index = ended
        server, instance = self.servers[index], request.instance
        request.answered_ms = self.now_ms
        server.running -= 1
        instance.own[index] -= 1
        while server.waiting and server.running < SLOTS:
            following = server.waiting.popleft()
            if following.due_ms > self.now_ms:
                self._start(following, index)
            else:
                following.instance.own[index] -= 1
        instance.learn(index, server.load)
        self._examine(instance)

    def _refuse(self, request, retry_after_ms):
        """Let the caller retry once at another instance, if the time to wait is usable."""
        if request.tries == 1 and retry_after_ms <= (request.due_ms - self.now_ms) / 3:
            request.tries += 1
            request.instance = self.random.choice(self.instances)
            self._at(self.now_ms + retry_after_ms, self._arrive, request)

    def _report(self, instance):
        for index, server in enumerate(self.servers):
            instance.learn(index, server.load)

    def _examine(self, instance):
        for entry in instance.queue.due(self.now_ms):
            self._decide(instance.waiting[entry.request_number])
        for _ in range(2):
            head = instance.queue.head()
            if head is None or not self._decide(instance.waiting[head.request_number]):
                break
