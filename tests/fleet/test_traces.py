"""Replay of recorded events of one instance.

``RECORD_TRACES=1 pytest tests/fleet/test_traces.py`` records the files again from the scenarios. The
first line names the instance and the expected result, each other line is an event with its time.
"""

import functools
import json
import os
import pathlib

import pytest
from cattrs.preconf import json as cattrs_json

from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import models
from rhubarbspar.core import reducer
from rhubarbspar.core import state as core_state
from rhubarbspar.peers import registry

CONVERTER = cattrs_json.make_converter()
DOMAINS = {'e1': 'almaty-1', 'e3': 'almaty-2'}
FLEET_KEY = b'k' * 32
JOINER = 'a' * 64
WORKSHOP = 'b' * 64
TRACES = pathlib.Path(__file__).parent.parent / 'traces'
UNIX_MS = 1_800_000_000_000.0


def send(fleet, series, name, times, gap_ms):
    """Send tries of a series to one instance, whatever the answers are."""
    series.candidates = (name,)
    for number in range(times):
        fleet.schedule(number * gap_ms, functools.partial(one_try, fleet, series, name, number))


def one_try(fleet, series, name, number):
    """Send one try."""
    request = models.Request(
        f'{series.number}-{number}',
        'commissions',
        series.method,
        series.target,
        (('x-try', f'{series.number}-{number}'),),
        series.body,
        series.digest,
        series.key,
        fleet.clock_of(name) + 1_500,
    )
    fleet.dispatch(name, events.RequestReceived(request))


def key_withdrawn_in_outage(fleet):
    """The traced instance is cut off from the store while a key is revoked."""
    series = fleet.ask('GET', '/stock', JOINER)
    fleet.faults.store_cuts.add('e3')
    send(fleet, series, 'e3', 8, 500)
    fleet.schedule(1_250, functools.partial(fleet.revoke, JOINER))
    fleet.run(5_000)


def crashing_request(fleet):
    """A request that crashes servers is repeated by its caller."""
    series = fleet.ask('GET', '/open', None, 'crash')
    send(fleet, series, 'e3', 6, 400)
    fleet.run(4_000)


def planned_stop(fleet):
    """A non-idempotent request is repeated while its instance stops."""
    fleet.ask('POST', '/orders', WORKSHOP)
    node = fleet.nodes['e3']
    fleet.run(1)
    series = fleet.series[-1]
    lookup = events.LookupReceived('x', 'commissions', '', WORKSHOP)
    (answer,) = reducer.reduce(node.state, lookup, fleet.clock_of('e3'))
    series.key = f'{answer.idempotency_key_prefix}.trace'
    send(fleet, series, 'e3', 5, 600)
    fleet.schedule(300, functools.partial(fleet.dispatch, 'e3', events.StopRequested()))
    fleet.run(6_000)


SCENARIOS = (key_withdrawn_in_outage, crashing_request, planned_stop)


def write_event(event):
    """Return an event as plain data."""
    raw = CONVERTER.unstructure(event)
    if isinstance(event, events.MessageReceived):
        raw['type'] = type(event.message).__name__
        raw['message'] = CONVERTER.unstructure(event.message)
    return {'event': type(event).__name__, **raw}


def read_event(raw):
    """Return the event of plain data."""
    raw = dict(raw)
    kind = getattr(events, raw.pop('event'))
    if kind is events.MessageReceived:
        message_type = registry.collect_message_types()[raw['type']]
        message = CONVERTER.structure(raw['message'], message_type)
        return events.MessageReceived(raw['peer_id'], message)
    return CONVERTER.structure(raw, kind)


def record(make_fleet, configuration, scenario, path):
    """Write a trace; the expected result is left as it is."""
    fleet = make_fleet(401, configuration, 0, DOMAINS)
    node = fleet.nodes['e3']
    fleet.traced_id = 'e3'
    fleet.run(4_000)
    scenario(fleet)
    fleet.traced_id = ''
    lines = [{'incarnation': node.state.membership.incarnation, 'offset_ms': node.offset_ms}]
    lines += [{'at_ms': at_ms, **write_event(event)} for at_ms, event in fleet.trace]
    path.write_text('\n'.join(json.dumps(line, separators=(',', ':')) for line in lines) + '\n')


def replay(path):
    """Feed a trace to a new instance and return its effects."""
    head, *lines = [json.loads(line) for line in path.read_text().splitlines()]
    known = [
        membership_models.KnownPeer(name, domain, f'{name}:1', f'{name}:2')
        for name, domain in DOMAINS.items()
    ]
    members = membership_models.MembershipState(
        known[1], head['incarnation'], seed_peers=(known[0],)
    )
    state = core_state.State(members)
    state.idempotency.fleet_key = FLEET_KEY
    state.rollout.unix_offset_ms = UNIX_MS - head['offset_ms']
    outputs = []
    for line in lines:
        at_ms = line.pop('at_ms')
        outputs += reducer.reduce(state, read_event(line), at_ms)
    return outputs


def result_of(outcome):
    """Return an outcome in short."""
    match outcome:
        case models.Answered(response):
            return f'{response.status}'
        case models.Refused(reason, run):
            return f'{reason} {run.value}'


EXPECTED = {
    key_withdrawn_in_outage: (['200'] * 3 + ['key_unknown not_run'] * 5, 3, False),
    crashing_request: (['backend_failed unknown'] + ['crashes_servers not_run'] * 5, 2, False),
    planned_stop: (['200'] * 5, 1, True),
}


@pytest.mark.parametrize('scenario', SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_replayed_trace_has_the_stated_outcome(make_fleet, configuration, scenario):
    """Guards against a change that treats a recorded incident differently."""
    path = TRACES / f'{scenario.__name__}.jsonl'
    if os.environ.get('RECORD_TRACES'):
        record(make_fleet, configuration, scenario, path)
    outputs = replay(path)
    responses = {
        one.request_id: result_of(one.outcome)
        for one in outputs
        if isinstance(one, effects.Respond)
    }
    starts = [one for one in outputs if isinstance(one, effects.StartAttempt)]
    exited = any(isinstance(one, effects.ExitProcess) for one in outputs)
    found = [responses[name] for name in sorted(responses)]
    assert (found, len(starts), exited) == EXPECTED[scenario]
