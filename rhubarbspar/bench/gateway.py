"""Figures of the gateway: processor time of a request and a heartbeat against the size of the fleet."""

import time
import typing
from collections import abc

from rhubarbspar.bench import fits
from rhubarbspar.bench import models
from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import const
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import models as gateway_models
from rhubarbspar.gateway import reducer
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.limits import budget
from rhubarbspar.gateway.membership import fleet
from rhubarbspar.gateway.routing import selection
from rhubarbspar.peers import codec
from rhubarbspar.peers import registry

SERVER_COUNTS: typing.Final = (12, 48, 130, 384)
ACCOUNT_COUNTS: typing.Final = (8, 80, 640)
REQUESTS: typing.Final = 2000
HEARTBEATS: typing.Final = 200
NOW_MS: typing.Final = 1_000_000.0
US_PER_S: typing.Final = 1_000_000
SLOTS: typing.Final = 4
OBJECT_COUNT: typing.Final = 40
DEMAND_PER_S: typing.Final = 1.5
OBJECTIVE_MS: typing.Final = 500


def gateway(seed: int) -> abc.Iterator[models.Figure]:
    """Measure the decisions on a request and a heartbeat."""
    request_us = [_request_us(count) for count in SERVER_COUNTS]
    yield fits.figure('gateway.request', 'us/server', seed, SERVER_COUNTS, request_us)
    beats = [_heartbeat(count) for count in ACCOUNT_COUNTS]
    coder = codec.Codec(registry.collect_message_types((messages,)))
    sizes = [len(coder.encode(beat)) for beat in beats]
    yield fits.figure('gateway.heartbeat_size', 'bytes/account', seed, ACCOUNT_COUNTS, sizes)
    times_us = [_hear_us(coder, beat) for beat in beats]
    yield fits.figure('gateway.heartbeat_heard', 'us/account', seed, ACCOUNT_COUNTS, times_us)


def _request_us(servers: int) -> float:
    state = _state(servers)
    started_s = time.process_time()
    for number in range(REQUESTS):
        _serve(state, number)
    return (time.process_time() - started_s) / REQUESTS * US_PER_S


def _serve(state: gateway_state.State, number: int) -> None:
    now_ms = NOW_MS + number
    request = gateway_models.Request(
        number,
        str(number),
        'GET',
        'host',
        '/',
        None,
        str(number % OBJECT_COUNT),
        None,
        str(number),
    )
    for effect in reducer.reduce(state, events.RequestReceived(request), now_ms):
        if isinstance(effect, effects.StartAttempt):
            ended = events.AttemptEnded(
                effect.attempt_number, events.AttemptResult.ANSWERED, const.STATUS_OK
            )
            reducer.reduce(state, ended, now_ms + 1)


def _state(servers: int) -> gateway_state.State:
    own = gateway_models.Member('gateway-0', 'a', 'domain', 'region', '', '')
    state = gateway_state.State(
        decode=_ignore,
        bounds=gateway_state.Bounds(0),
        fleet=fleet.Fleet(own),
        budget=budget.RetryBudget(budget.BudgetLimits(1, 1, 1)),
        network=selection.NetworkTopology('domain', 'region', {'domain': 'region'}),
    )
    target = (gateway_models.RouteTarget('service', 1),)
    route = gateway_models.Route(
        'route', 'host', '/', True, 1000, OBJECTIVE_MS, 0, target, 2, public=True, sticky=True
    )
    service = gateway_models.Service('service', 0, 0)
    state.declared.configuration = gateway_models.make_configuration(1, [route], [service], [])
    for number in range(servers):
        state.servers.declare(_server(number), NOW_MS)
    return state


def _ignore(_key: str, _content: bytes, _revision: int) -> None:
    """Read nothing: the state is filled directly."""


def _server(number: int) -> gateway_models.BackendServer:
    return gateway_models.BackendServer(
        f'server-{number}', 'service', 'host', 1, 'domain', 'v1', SLOTS, False, 0, 1, 1
    )


def _heartbeat(accounts: int) -> messages.Heartbeat:
    uses = tuple(
        messages.AccountUsage(f'account-{number}', number, DEMAND_PER_S)
        for number in range(accounts)
    )
    return messages.Heartbeat('a', 1, True, False, accounts=uses)


def _hear_us(coder: codec.Codec, beat: messages.Heartbeat) -> float:
    state = _state(1)
    member = gateway_models.Member('gateway-1', 'a', 'domain', 'region', '', '')
    state.fleet.register(member, 0)
    frame = coder.encode(beat)
    started_s = time.process_time()
    for _ in range(HEARTBEATS):
        _hear(state, coder, frame)
    return (time.process_time() - started_s) / HEARTBEATS * US_PER_S


def _hear(state: gateway_state.State, coder: codec.Codec, frame: bytes) -> None:
    received = core_events.MessageReceived('gateway-1', coder.decode(frame))
    outputs: list[core_effects.Effect] = reducer.reduce(state, received, NOW_MS)
    if len(outputs) > 1:
        raise AssertionError('a plain heartbeat causes nothing but a log line')
