"""Rollouts whose results are missing, late, or spread over many instances that restart."""

import dataclasses
import heapq
import itertools

import pytest

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models
from rhubarbspar.gateway.rollouts import canary_analysis
from rhubarbspar.gateway.store import revisions
from tests.gateway import conftest
from tests.gateway import fleet_network

ANSWERED = events.AttemptResult.ANSWERED
ROLLOUT_MS = 12_000
REQUESTS_PER_S = 55
TICK_MS = 50
USUAL_MS = 100
SLOW_MS = 800
# Response of a server that has not run the request, which says nothing about its version.
REFUSAL = (0, 503)
# Exposure that the operators permit a bad version.
EXPOSURE_RATIO = 0.1
EXPOSURE_ALLOWANCE = 50
DOMAINS = {'almaty-a': 'almaty', 'almaty-b': 'almaty', 'astana-a': 'astana'}


@dataclasses.dataclass
class Served:
    """What the backend servers and the store have seen.

    Attributes
    ----------
    versions
        Version of the server of each attempt, in order.
    phases
        Recorded phases of the rollout.
    """

    versions: list[str] = dataclasses.field(default_factory=list)
    phases: list[str] = dataclasses.field(default_factory=list)

    @property
    def exposure_max(self):
        """Return the attempts that a bad version may get."""
        return EXPOSURE_RATIO * len(self.versions) + EXPOSURE_ALLOWANCE


class Service:
    """Backend servers that answer the attempts of a gateway after some time.

    Parameters
    ----------
    response
        Returns the time and the status of the response to the nth attempt at the new version; a
        time of ``None`` means that there is none.
    """

    def __init__(self, gateway, response, requests_per_s=REQUESTS_PER_S):
        """Serve nothing yet."""
        self._requests_per_s = requests_per_s
        self.served = Served()
        self._gateway = gateway
        self._response = response
        self._numbers = itertools.count()
        self._candidates = itertools.count()
        self._responses = []

    def run(self, duration_ms, path='/orders/1', caller_timeout_ms=5000.0):
        """Send requests and deliver responses for some time."""
        until_ms = self._gateway.now_ms + duration_ms
        due_requests = 0.0
        while self._gateway.now_ms < until_ms:
            self._gateway.now_ms += TICK_MS
            self._deliver()
            due_requests += self._requests_per_s * TICK_MS / 1000
            while due_requests >= 1:
                due_requests -= 1
                request = f'{path}{next(self._numbers)}'
                self._apply(self._gateway.request(request, caller_timeout_ms=caller_timeout_ms))
            self._apply(self._gateway.reduce(events.ClockTicked()))
        return self.served

    def _deliver(self):
        while self._responses and self._responses[0][0] <= self._gateway.now_ms:
            _, _, started, status = heapq.heappop(self._responses)
            result = events.AttemptResult.NOT_RUN if status == REFUSAL[1] else ANSWERED
            ended = conftest.ended(started, result, status=status)
            self._apply(self._gateway.reduce(ended))

    def _apply(self, outputs):
        for output in outputs:
            match output:
                case effects.StartAttempt():
                    self._serve(output)
                case effects.WriteStatus(status):
                    self.served.phases.append(status.phase)
                    self._gateway.declare(f'status/{status.service_id}', status)

    def _serve(self, started):
        self.served.versions.append(started.server.version)
        elapsed_ms, status = USUAL_MS, 200
        if started.server.version == 'v2':
            elapsed_ms, status = self._response(next(self._candidates))
        if elapsed_ms is not None:
            due_ms = self._gateway.now_ms + elapsed_ms
            entry = (due_ms, next(self._numbers), started, status)
            heapq.heappush(self._responses, entry)


def start_rollout(gateway, service_id='orders', duration_ms=ROLLOUT_MS):
    """Register servers of a new version, and request its rollout."""
    for number in range(2):
        gateway.add_server(f'new-{number}', service_id=service_id, version='v2')
    request = models.RolloutRequest(service_id, 'v2', duration_ms, 0)
    gateway.declare(f'rollout/{service_id}', request)


def read_restored_store(gateway):
    """Read the request of stock from a restored store; return the revision it had before."""
    request = gateway.state.rollouts.active['stock'].request
    restored = dataclasses.replace(request, revision=revisions.combine(1, 1))
    gateway.state.rollouts.apply_request(restored, gateway.now_ms)
    return request.revision


def half(bad):
    """Return responses of which every second one is bad."""
    return lambda number: bad if number % 2 else (USUAL_MS, 200)


def results(version, revision, **counts):
    """Return results of a version of stock on a route."""
    fields = {'sent': 0, 'running': 0, 'good': 0, 'bad': 0, 'slow': 0, **counts}
    return messages.VersionResults('stock', version, revision, route_id='reads', **fields)


@pytest.mark.parametrize('caller_timeout_ms', [900.0, 5000.0])
@pytest.mark.parametrize('path', ['/orders/', '/stock/'])
def test_version_whose_slow_responses_miss_the_deadline_is_rolled_back(
    gateway, path, caller_timeout_ms
):
    """Guards against a slow version that looks good since its slow requests have no result.

    They end at their deadline, are abandoned, or are sent to another server.
    """
    start_rollout(gateway, path.strip('/'))
    service = Service(gateway, half((None, 0)))
    served = service.run(ROLLOUT_MS, path, caller_timeout_ms)
    assert served.versions.count('v2') <= served.exposure_max
    assert served.phases == [const.PHASE_RUNNING, const.PHASE_ROLLED_BACK]


def test_slow_version_is_rolled_back_while_its_requests_still_run(gateway):
    """Guards against a verdict that waits for responses that are late already."""
    start_rollout(gateway)
    gateway.configure(dataclasses.replace(conftest.ORDERS, timeout_ms=60_000), version=2)
    served = Service(gateway, half((20_000, 200))).run(ROLLOUT_MS, caller_timeout_ms=60_000.0)
    assert served.versions.count('v2') <= served.exposure_max
    assert served.phases == [const.PHASE_RUNNING, const.PHASE_ROLLED_BACK]


def test_servers_of_a_slow_version_do_not_make_its_responses_expected(gateway):
    """Guards against a slow version whose servers are soon expected to be slow."""
    start_rollout(gateway)
    served = Service(gateway, lambda _: (SLOW_MS, 200)).run(ROLLOUT_MS)
    assert served.versions.count('v2') <= served.exposure_max
    assert served.phases == [const.PHASE_RUNNING, const.PHASE_ROLLED_BACK]


@pytest.mark.parametrize('good_count', [20, 40, 80, 120])
def test_version_that_turns_bad_after_good_results_is_rolled_back(gateway, good_count):
    """Guards against a suspect version that gets no more requests and so is never rejected.

    Its share fell to zero after six failures among many good responses.
    """
    start_rollout(gateway, duration_ms=22_000)

    def respond(number):
        return (USUAL_MS, 500 if number >= good_count and number % 2 else 200)

    served = Service(gateway, respond).run(22_000)
    assert served.phases == [const.PHASE_RUNNING, const.PHASE_ROLLED_BACK]
    assert served.versions.count('v2') <= served.exposure_max


def test_version_without_results_stays_within_the_permitted_exposure(gateway):
    """Guards against a rollout that goes on because nothing bad is known of the version."""
    start_rollout(gateway)
    served = Service(gateway, lambda _: REFUSAL).run(ROLLOUT_MS)
    assert served.versions.count('v2') <= served.exposure_max
    assert served.phases == [const.PHASE_RUNNING]


def test_version_that_never_answers_is_not_completed_in_a_service_with_few_requests(gateway):
    """Guards against stopping the old servers for a version of which nothing good is known."""
    start_rollout(gateway)
    served = Service(gateway, lambda _: REFUSAL, 1).run(ROLLOUT_MS)
    assert served.phases == [const.PHASE_RUNNING]


@pytest.mark.parametrize('poor', [(SLOW_MS, 200), (USUAL_MS, 500)])
def test_version_with_as_many_poor_results_as_good_ones_is_not_completed(gateway, poor):
    """Guards against stopping the old servers for a version that is bad but has few requests."""
    # The usual time of a response is known.
    Service(gateway, lambda _: REFUSAL).run(3000)
    start_rollout(gateway)
    good = (USUAL_MS, 200)
    served = Service(gateway, lambda number: good if number % 2 else poor, 0.6).run(ROLLOUT_MS)
    assert served.phases == [const.PHASE_RUNNING]


def test_good_version_completes_in_a_service_with_few_requests(gateway):
    """Guards against a rollout that waits for more results than there are requests."""
    start_rollout(gateway)
    served = Service(gateway, lambda _: (USUAL_MS, 200), 1).run(ROLLOUT_MS)
    assert served.phases == [const.PHASE_RUNNING, const.PHASE_COMPLETED]


def test_instance_that_hears_no_other_one_uses_its_part_of_the_allowance(gateway):
    """Guards against a bad version whose exposure is used up by each cut-off instance again."""
    peers = 9
    for number in range(peers):
        member = models.Member(f'front-{number}x', 'b', 'almaty-b', 'almaty', '', '')
        gateway.declare(f'members/front-{number}x', member)
    gateway.advance(3000)
    start_rollout(gateway)
    served = Service(gateway, lambda _: REFUSAL, REQUESTS_PER_S / peers).run(ROLLOUT_MS)
    limit = EXPOSURE_RATIO * len(served.versions) + EXPOSURE_ALLOWANCE / (peers + 1)
    assert served.versions.count('v2') <= limit


@pytest.mark.parametrize('service_id', ['orders', 'stock'])
def test_good_version_of_a_slow_service_completes_in_time(gateway, service_id):
    """Guards against a rollout that waits for more results than the service gives."""
    start_rollout(gateway, service_id)
    service = Service(gateway, lambda _: (USUAL_MS, 200))
    served = service.run(ROLLOUT_MS, f'/{service_id}/')
    assert served.phases == [const.PHASE_RUNNING, const.PHASE_COMPLETED]


def test_results_of_a_peer_that_restarts_still_count(gateway):
    """Guards against evidence that is lost with the restart of the instance that has it."""
    start_rollout(gateway, 'stock')
    revision = gateway.state.rollouts.active['stock'].request.revision
    member = models.Member('front-2', 'b', 'almaty-b', 'almaty', '', '')
    gateway.declare('members/front-2', member)
    bad_each = canary_analysis.VERDICT.bad_min - 1
    versions = (
        results('v1', revision, sent=200, good=200),
        results('v2', revision, sent=10, good=7, bad=bad_each),
    )
    for incarnation in ('b', 'c'):
        heartbeat = messages.Heartbeat(incarnation, 0, True, False, versions=versions)
        gateway.reduce(core_events.MessageReceived('front-2', heartbeat))
        gateway.advance(2000)
    assert gateway.state.rollouts.active['stock'].rejected


def test_each_result_of_a_peer_that_reconnects_counts_once(gateway):
    """Guards against a good version that is rejected because results are counted twice."""
    start_rollout(gateway, 'stock')
    revision = gateway.state.rollouts.active['stock'].request.revision
    member = models.Member('front-2', 'b', 'almaty-b', 'almaty', '', '')
    gateway.declare('members/front-2', member)
    versions = (results('v2', revision, sent=10, good=7, bad=canary_analysis.VERDICT.bad_min - 1),)
    heartbeat = messages.Heartbeat('b', 0, True, False, versions=versions)
    for _ in range(3):
        gateway.reduce(core_events.MessageReceived('front-2', heartbeat))
        gateway.reduce(core_events.PeerDisconnected('front-2'))
        gateway.advance(20_000)
        gateway.reduce(core_events.PeerConnected('front-2', 'b'))
    assert not gateway.state.rollouts.active['stock'].rejected


def test_results_that_peers_count_under_the_former_revision_still_count(gateway):
    """Guards against evidence that is lost where a restored store was read a little earlier."""
    start_rollout(gateway, 'stock')
    rollout = gateway.state.rollouts.active['stock']
    former = read_restored_store(gateway)
    versions = (
        results('v1', former, sent=200, good=200),
        results('v2', former, sent=10, good=5, bad=5),
    )
    gateway.state.rollouts.evidence.apply_report('front-2', 'a', versions)
    gateway.advance(TICK_MS)
    assert rollout.rejected


def test_verdict_under_the_former_revision_still_counts(gateway):
    """Guards against a rejected version that is used on where the restored store was read."""
    start_rollout(gateway, 'stock')
    rollout = gateway.state.rollouts.active['stock']
    former = read_restored_store(gateway)
    gateway.state.rollouts.apply_verdict(messages.RejectedVersion('stock', 'v2', former))
    assert rollout.rejected


def make_fleet(size):
    """Return a fleet with servers of both versions of a service, and a rollout under way."""
    fleet = fleet_network.FleetNetwork(DOMAINS, size)
    routes = (conftest.READS,)
    services = (models.Service('stock', 0, 0),)
    fleet.write('config', models.make_configuration(1, routes, services, [conftest.ACCOUNT]))
    for domain, version in itertools.product(DOMAINS, ('v1', 'v2')):
        server = conftest.make_server(f'{domain}-{version}', failure_domain=domain, version=version)
        fleet.write(f'servers/{domain}-{version}', server)
    fleet.write('rollout/stock', models.RolloutRequest('stock', 'v2', ROLLOUT_MS, 1))
    fleet.run(500)
    return fleet


def send_everywhere(fleet, status):
    """Send a request to each instance; return the number of those that the new version got."""
    exposed = 0
    for instance_id in tuple(fleet.instances):
        for started in fleet.send(instance_id):
            if not isinstance(started, effects.StartAttempt):
                continue
            is_candidate = started.server.version == 'v2'
            exposed += is_candidate
            ended = conftest.ended(started, ANSWERED, status=status if is_candidate else 200)
            fleet.reduce(instance_id, ended)
    return exposed


def test_new_version_gets_its_share_although_each_instance_sends_little():
    """Guards against a rollout without evidence in a large fleet.

    An instance that sends 10 requests in the first step sent none of them to a new version with a
    share of 5%.
    """
    fleet = make_fleet(size=20)
    rounds = 10
    exposed = sum(send_everywhere(fleet, 200) for _ in range(rounds))
    assert 0.02 <= exposed / (rounds * len(fleet.instances)) <= 0.08


@pytest.mark.parametrize('size', [2, 20])
def test_bad_version_is_found_although_instances_restart_all_the_time(size):
    """Guards against evidence that no instance keeps when one after the other restarts."""
    fleet = make_fleet(size)
    restarts = itertools.cycle(tuple(fleet.instances))
    exposed = 0
    sent = 0
    for _ in range(12):
        for _ in range(300 // len(fleet.instances)):
            exposed += send_everywhere(fleet, 500)
            sent += len(fleet.instances)
        fleet.run(1000)
        instance_id = next(restarts)
        fleet.kill(instance_id)
        fleet.start(instance_id, instance_id.rpartition('-')[0])
    fleet.run(2000)
    rejected = [
        instance.state.rollouts.active['stock'].rejected for instance in fleet.instances.values()
    ]
    assert all(rejected)
    assert exposed <= EXPOSURE_RATIO * sent + EXPOSURE_ALLOWANCE


def test_results_of_a_child_that_reports_to_another_relay_count_once():
    """Guards against a good version that is rejected since two relays report the same results."""
    fleet = make_fleet(size=20)
    for _ in range(5):
        send_everywhere(fleet, 200)
    fleet.run(3000)
    expected = sum(
        counts.sent
        for instance in fleet.instances.values()
        for counts in instance.state.rollouts.evidence.local_counts.values()
    )
    child_id, child = next(
        (name, instance)
        for name, instance in fleet.instances.items()
        if instance.state.fleet.relay_id != name
    )
    relay_id = child.state.fleet.relay_id
    fleet.cut_pairs = {frozenset((child_id, relay_id))}
    fleet.run(8000)
    assert child.state.fleet.relay_id != relay_id
    for instance in fleet.instances.values():
        (rollout,) = instance.state.rollouts.active.values()
        uses = instance.state.rollouts.evidence.of_request('stock', rollout.request.revision)
        assert sum(use.sent for use in uses) == expected
