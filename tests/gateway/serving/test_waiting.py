"""Requests that wait in the instance for capacity of a service that several kinds share.

Pattern of the load: uploads with a short objective and audits that work for 2 s share a service whose
servers are full; the audits have time.
"""

import dataclasses

import pytest

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.rollouts import rollouts
from tests.gateway import conftest

UPLOADS = dataclasses.replace(
    conftest.ORDERS,
    route_id='uploads',
    path_prefix='/uploads/',
    timeout_ms=4300,
    latency_objective_ms=720,
    targets=conftest.READS.targets,
)
AUDITS = dataclasses.replace(
    conftest.READS,
    route_id='audits',
    path_prefix='/audits/',
    timeout_ms=10_000,
    latency_objective_ms=1600,
    priority=2,
)
FULL = events.LoadReport(3, 1, 3)
FREE = events.LoadReport(0, 0, 3)
# Latest time to send an audit: the deadline less twice its work, a round trip and 100 ms.
LATEST_MS = 10_000 - 2 * (1.2 * 1600 + 1) - 100


class Shared(conftest.Gateway):
    """A gateway with one server, which uploads and audits share, and scheduling."""

    def __init__(self):
        """Enable scheduling."""
        super().__init__()
        self.state.scheduler.is_enabled = True

    def report(self, load):
        """Record a load report of the server."""
        self.state.servers.views['stock-1'].record_load_report(load, self.now_ms)

    def upload(self, **fields):
        """Receive an upload."""
        return self.request('/uploads/1', caller_timeout_ms=None, **fields)

    def audit(self, **fields):
        """Receive an audit."""
        return self.request('/audits/1', caller_timeout_ms=None, **fields)

    def run_full(self, duration_ms):
        """Let time pass while the server reports that it is full."""
        outputs = []
        for _ in range(round(duration_ms / 50)):
            self.report(FULL)
            outputs.extend(self.advance(50))
        return outputs


@pytest.fixture
def shared():
    """Return a gateway whose full server got an upload just now."""
    gateway = Shared()
    gateway.configure(UPLOADS, AUDITS)
    gateway.add_server('stock-1')
    started = conftest.single_effect(gateway.upload(), effects.StartAttempt)
    gateway.reduce(conftest.ended(started, events.AttemptResult.ANSWERED, status=200, load=FULL))
    gateway.report(FULL)
    return gateway


def starts(outputs):
    """Return the attempts that were started."""
    return [output for output in outputs if isinstance(output, effects.StartAttempt)]


def logged(outputs, name):
    """Return the fields of the only log line of an event."""
    (line,) = [out for out in outputs if isinstance(out, core_effects.Log) and out.name == name]
    return dict(line.fields)


def test_less_urgent_request_waits_for_a_free_slot(shared):
    """Guards against audits that fill the queue of a server in front of uploads."""
    outputs = shared.audit()
    assert not starts(outputs)
    fields = logged(outputs, 'request_waits')
    assert (fields['urgency'], fields['first_urgency'], fields['load_age_ms']) == (2, 1, 0)
    assert not starts(shared.run_full(1000))
    shared.report(FREE)
    started = shared.advance(50)
    assert len(starts(started)) == 1
    assert logged(started, 'attempt_started')['waited_ms'] >= 1000
    counted = [out.reason for out in outputs + started if isinstance(out, core_effects.Count)]
    assert counted == ['waits_less_urgent', 'sent_after_wait']
    assert not shared.state.scheduler.keys


def test_end_of_an_attempt_sends_a_waiting_request_at_once(shared):
    """Guards against slots that stay idle until the next tick."""
    upload = conftest.single_effect(shared.upload(), effects.StartAttempt)
    shared.audit()
    ended = conftest.ended(upload, events.AttemptResult.ANSWERED, status=200, load=FREE)
    assert len(starts(shared.reduce(ended))) == 1


def test_urgent_request_is_sent_while_others_wait(shared):
    """Guards against an upload behind audits that wait."""
    shared.audit()
    assert len(starts(shared.upload())) == 1


def test_service_with_one_kind_of_request_does_not_wait(shared):
    """Guards against waits and costs where nobody gains from them."""
    shared.advance(10_100)
    shared.report(FULL)
    assert len(starts(shared.audit())) == 1
    assert not shared.state.scheduler.queues


def test_instance_without_reports_sends(shared):
    """Guards against an instance that serves nobody since it does not know the load."""
    shared.advance(3100)
    shared.state.servers.views['stock-1'].other_requests = 9
    assert len(starts(shared.audit())) == 1


def test_waiting_request_goes_out_at_its_last_time(shared):
    """Guards against starvation of the less urgent kind: audits were given up, uploads sent."""
    shared.audit()
    queue = events.LoadReport(3, 0, 3)
    outputs = []
    for _ in range(round(LATEST_MS / 50) + 1):
        shared.upload()
        use = shared.state.scheduler.use_of('stock')
        use.record_result(2, shared.now_ms, is_sent=False)
        shared.state.servers.views['stock-1'].running = 0
        shared.report(queue)
        outputs.extend(shared.advance(50))
    audits = [started for started in starts(outputs) if started.time_left_ms < 5000]
    assert audits


def test_waiting_request_that_cannot_be_in_time_is_refused(shared):
    """Guards against a caller that waits for its deadline although nothing can be done."""
    shared.audit()
    outputs = []
    for _ in range(round(LATEST_MS / 50) + 1):
        shared.state.scheduler.use_of('stock').record_request(1, '', 0, shared.now_ms)
        shared.report(events.LoadReport(3, 9, 3))
        outputs.extend(shared.advance(50))
    refused = conftest.single_effect(outputs, effects.Refuse)
    assert logged(outputs, 'capacity_missing')['load_age_ms'] <= 50
    assert (refused.status, refused.reason) == (503, const.REASON_LESS_URGENT)
    assert 0 < refused.retry_after_ms <= 10_000 / 3
    assert not (shared.state.pending or shared.state.scheduler.keys)


def test_caller_that_closes_leaves_the_queue(shared):
    """Guards against requests that run for nobody, and a queue that grows by them."""
    logged(shared.audit(), 'request_waits')
    (number,) = shared.state.scheduler.keys
    shared.reduce(events.RequestAbandoned(number))
    assert not (shared.state.scheduler.keys or shared.state.scheduler.queues)
    shared.report(FREE)
    assert not starts(shared.advance(100))


def test_planned_stop_answers_all_waiting_requests(shared):
    """Guards against waiting requests that the end of the process cuts off."""
    for _ in range(5):
        shared.audit()
    shared.reduce(core_events.StopRequested())
    outputs = shared.run_full(const.STOP_REFUSE_AFTER_MS + 100)
    refused = conftest.refusals(outputs)
    assert len(refused) + len(starts(outputs)) == 5
    assert {(refusal.status, refusal.reason) for refusal in refused} == {
        (503, const.REASON_STOPPING)
    }
    assert all(refusal.retry_after_ms for refusal in refused)


def test_request_whose_key_was_revoked_meanwhile_does_not_run(shared):
    """Guards against a revoked key that is used as long as its requests wait."""
    shared.audit()
    other = dataclasses.replace(conftest.ACCOUNT, keys=('key-2',))
    shared.configure(UPLOADS, AUDITS, accounts=[other], version=2)
    shared.report(FREE)
    refused = conftest.single_effect(shared.advance(50), effects.Refuse)
    assert refused.status == const.STATUS_UNAUTHORIZED


def test_pause_of_the_process_beyond_the_deadline_ends_in_a_true_refusal(shared):
    """Guards against a 504, which guarantees nothing, for a request that was never sent."""
    shared.audit()
    shared.now_ms += 20_000
    refused = conftest.single_effect(shared.reduce(events.ClockTicked(20_000)), effects.Refuse)
    assert refused.status == 503


def test_memory_pressure_refuses_instead_of_waiting(shared):
    """Guards against waiting bodies that take the memory of requests being received."""
    shared.reduce(events.ClockTicked(is_memory_short=True))
    refused = conftest.single_effect(shared.audit(), effects.Refuse)
    assert (refused.status, refused.reason) == (503, const.REASON_WAITING_FULL)


def test_bodies_that_wait_are_bounded(shared):
    """Guards against large bodies that wait until the memory of the process is used up."""
    waiting = [shared.audit(body_bytes=10_000_000) for _ in range(3)]
    assert [len(conftest.refusals(outputs)) for outputs in waiting] == [0, 1, 1]


def test_number_of_waiting_requests_is_bounded(shared):
    """Guards against a queue that takes all connections of an instance."""
    outputs = [output for _ in range(500) for output in shared.audit()]
    assert len(shared.state.scheduler.keys) <= 400
    assert len(conftest.refusals(outputs)) + len(shared.state.scheduler.keys) == 500


def test_priority_of_the_account_takes_precedence(shared):
    """Guards against a request of an urgent account that waits like others of its route."""
    urgent = models.ClientAccount('urgent', ('key-2',), 0, 0, 0)
    shared.configure(UPLOADS, AUDITS, accounts=[conftest.ACCOUNT, urgent], version=2)
    assert len(starts(shared.audit(access_key='key-2'))) == 1


def test_targets_of_a_route_keep_their_shares_without_capacity(shared):
    """Guards against a target whose requests move to another one when it has no capacity."""
    targets = (models.RouteTarget('stock', 3), models.RouteTarget('orders', 1))
    shared.configure(UPLOADS, dataclasses.replace(AUDITS, targets=targets), version=2)
    shared.add_server('orders-1', service_id='orders')
    shared.state.servers.views['orders-1'].turned_away_until_ms = shared.now_ms + 60_000
    services = []
    for _ in range(100):
        shared.report(FREE)
        outputs = shared.audit()
        services.extend(started.server.service_id for started in starts(outputs))
        for refused in conftest.refusals(outputs):
            assert refused.reason == package_const.REASON_NO_SERVER
        for started in starts(outputs):
            shared.reduce(conftest.ended(started, events.AttemptResult.ANSWERED, status=200))
    assert services == ['stock'] * 75


def test_refusal_fits_the_remaining_time(shared):
    """Guards against a time to retry that the caller of a short request cannot use."""
    view = shared.state.servers.views['stock-1']
    view.overload.late_since_ms = shared.now_ms - 1000
    shared.report(events.LoadReport(3, 9, 3))
    refused = conftest.single_effect(
        shared.request('/uploads/1', caller_timeout_ms=600), effects.Refuse
    )
    assert refused.retry_after_ms <= 200


def test_retry_of_a_request_does_not_wait(shared):
    """Guards against a request that waits again after a server has refused it."""
    shared.add_server('stock-2')
    shared.report(FREE)
    first = conftest.single_effect(shared.audit(), effects.StartAttempt)
    for view in shared.state.servers.views.values():
        view.record_load_report(FULL, shared.now_ms)
    not_run = conftest.ended(first, events.AttemptResult.NOT_RUN, status=503)
    assert len(starts(shared.reduce(not_run))) == 1


def test_examined_requests_do_not_change_the_share_of_a_new_version(shared):
    """Guards against waiting requests that count for the share with each look at the queue."""
    request = models.RolloutRequest('stock', 'v2', 60_000, 1)
    shared.state.rollouts.active['stock'] = rollouts.Rollout(request, shared.now_ms)
    rollout = shared.state.rollouts.active['stock']
    shared.audit()
    before = rollout.candidate_credit
    shared.run_full(1000)
    assert rollout.candidate_credit == before


def test_nothing_waits_unless_the_settings_enable_scheduling(shared):
    """Guards against requests that wait in a deployment that does not ask for it."""
    shared.state.scheduler.is_enabled = False
    conftest.single_effect(shared.audit(), effects.StartAttempt)
    assert not shared.state.scheduler.keys
