"""Figures of cost: one instance, one core."""

import dataclasses
import functools
import gc
import ipaddress
import itertools
import random
import time
import tracemalloc
import typing
from collections import abc

from rhubarbspar.bench import fits
from rhubarbspar.bench import fleet
from rhubarbspar.bench import models
from rhubarbspar.bench import scenario
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import events
from rhubarbspar.core import heartbeat as core_heartbeat
from rhubarbspar.core import reducer
from rhubarbspar.core import state as core_state
from rhubarbspar.helpers import block_map
from rhubarbspar.peers import codec

BLOCKS: typing.Final = 1_200_000
BLOCK_STEP: typing.Final = 3000
BLOCK_ADDRESSES: typing.Final = 2048
BLOCK_NUMBERS: typing.Final = 1600
FIRST_ADDRESS: typing.Final = ipaddress.IPv4Address('10.0.0.0')
LOOKUPS: typing.Final = 2000
ROUNDS: typing.Final = 400
HEARTBEAT_ROUNDS: typing.Final = 30
PEER_COUNTS: typing.Final = (8, 16, 32, 64, 128)
ADDRESS_MAX: typing.Final = 0xFFFFFFFF
HIGH_RATE_PER_S: typing.Final = 1_000_000
REQUESTS: typing.Final = 3000
FIRST_PEER: typing.Final = 'peer-0'
MS_PER_S: typing.Final = 1000
US_PER_S: typing.Final = 1_000_000
REPEATS: typing.Final = 3
NOW_MS: typing.Final = 10_000

_CODEC: typing.Final = codec.Codec()


def lookups(seed: int) -> abc.Iterator[models.Figure]:
    """Measure look-up decisions per second and their time against the live instances."""
    times_us = []
    for count in PEER_COUNTS:
        action = functools.partial(_look_up, _state_with_peers(count))
        times_us.append(_best(LOOKUPS, action) * US_PER_S)
    at_eight = US_PER_S / times_us[0]
    yield models.Figure('lookup.rate', at_eight, '1/s', seed, {'peers': PEER_COUNTS[0]})
    yield fits.figure('lookup.time_by_instances', 'us/instance', seed, PEER_COUNTS, times_us)


def requests(seed: int) -> abc.Iterator[models.Figure]:
    """Measure request decisions per second at an owner, with key and rate limit."""
    size = scenario.Size(domains=1, rate_per_s=HIGH_RATE_PER_S)
    alone = fleet.Fleet(size, 1, seed)
    alone.warm_up()
    instance_id = next(iter(alone.nodes))
    for number in range(REQUESTS):
        alone.request(instance_id, f'r{number}', number % size.accounts)
        alone.run(1)
    idle_from_s = alone.counted.processor_s
    alone.run(REQUESTS)
    idle_s = alone.counted.processor_s - idle_from_s
    busy_s = idle_from_s - idle_s
    answered = sum(outcome == fleet.OK for outcome in alone.answers.values())
    shown = {'answered': answered, 'sent': REQUESTS, 'ticks_subtracted_s': idle_s}
    yield models.Figure('request.rate', answered / busy_s, '1/s', seed, shown)


def blocks(seed: int) -> abc.Iterator[models.Figure]:
    """Measure a client block map at the target's size and the memory of its rebuild."""
    tracemalloc.start()
    built = block_map.BlockMap.build(_ranges())
    rebuilt = block_map.BlockMap.build(_ranges())
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    shown = {'blocks': BLOCKS}
    yield models.Figure('blocks.size', rebuilt.size_bytes, 'bytes', seed, shown)
    yield models.Figure('blocks.rebuild_peak', peak_bytes, 'bytes', seed, {'maps_alive': 2})
    started_s = time.process_time()
    block_map.BlockMap.build(_ranges())
    yield models.Figure('blocks.rebuild', time.process_time() - started_s, 's', seed, shown)
    generator = random.Random(seed)
    addresses = [generator.randint(0, ADDRESS_MAX) for _ in range(LOOKUPS)]
    elapsed_s = _best(LOOKUPS, lambda number: built.lookup_integer(addresses[number]))
    yield models.Figure('blocks.lookup', elapsed_s * US_PER_S, 'us', seed, shown)


def heartbeats(seed: int) -> abc.Iterator[models.Figure]:
    """Measure size and codec time of a heartbeat, and a round: one sent and one received a peer."""
    plain = _to_first_peer(PEER_COUNTS[0], NOW_MS + MS_PER_S)
    complete = [_to_first_peer(count, float('-inf')) for count in PEER_COUNTS]
    sizes = [len(_CODEC.encode(heartbeat)) for heartbeat in complete]
    frame = _CODEC.encode(plain)
    yield models.Figure('heartbeat.size', len(frame), 'bytes', seed, {'owned_servers': 0})
    yield fits.figure('heartbeat.size_with_list', 'bytes/instance', seed, PEER_COUNTS, sizes)
    rounds_us = [_round_us(count) for count in PEER_COUNTS]
    yield fits.figure('heartbeat.round', 'us/peer', seed, PEER_COUNTS, rounds_us)
    encode_s = _best(ROUNDS, lambda _: _CODEC.encode(plain))
    decode_s = _best(ROUNDS, lambda _: _CODEC.decode(frame))
    yield models.Figure('heartbeat.encode', encode_s * US_PER_S, 'us', seed)
    yield models.Figure('heartbeat.decode', decode_s * US_PER_S, 'us', seed)


def _to_first_peer(count: int, acknowledged_ms: float) -> membership_models.Heartbeat:
    state = _state_with_peers(count)
    core_heartbeat.compose(state, FIRST_PEER, NOW_MS)
    state.membership.peers[FIRST_PEER].sent.acknowledged_ms = acknowledged_ms
    return core_heartbeat.compose(state, FIRST_PEER, NOW_MS + MS_PER_S)


def _round_us(count: int) -> float:
    exchange = functools.partial(_exchange_all, _state_with_peers(count), itertools.count(1))
    return _best(HEARTBEAT_ROUNDS, exchange) * US_PER_S


def _exchange_all(state: core_state.State, clock: abc.Iterator[int], _: int) -> None:
    now_ms = NOW_MS + next(clock)
    for peer_id in state.membership.peers:
        _exchange(state, peer_id, now_ms)


def _exchange(state: core_state.State, peer_id: str, now_ms: float) -> None:
    """Compose, encode, decode and hear a heartbeat; the first one to a peer is complete."""
    sent = core_heartbeat.compose(state, peer_id, now_ms)
    peer = state.membership.peers[peer_id]
    heard = dataclasses.replace(sent, sender=peer.known) if sent.sender else sent
    message = _CODEC.decode(_CODEC.encode(heard))
    reducer.reduce(state, events.MessageReceived(peer_id, message), now_ms)
    if peer.last_heartbeat_ms != now_ms:
        raise ValueError('the heartbeat was not accepted')


def _look_up(state: core_state.State, number: int) -> None:
    address = str(FIRST_ADDRESS + number)
    digest = scenario.digest(number % scenario.Size().accounts)
    event = events.LookupReceived('l', scenario.SERVICE_ID, address, digest)
    reducer.reduce(state, event, NOW_MS)


def _best(count: int, action: abc.Callable[[int], object]) -> float:
    """Return the processor seconds of one action, the least of some repeats."""
    gc.collect()
    found = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        for number in range(count):
            action(number)
        found.append((time.process_time() - started_s) / count)
    return min(found)


def _state_with_peers(count: int) -> core_state.State:
    own = membership_models.KnownPeer('own', scenario.domain_name(0), fleet.ADDRESS, fleet.ADDRESS)
    state = core_state.State(membership_models.MembershipState(own, 'first'))
    state.idempotency.fleet_key = b'bench'
    state.configuration.current = scenario.configuration(scenario.Size())
    for number in range(count):
        known = membership_models.KnownPeer(
            f'peer-{number}', scenario.domain_name(number % 2), fleet.ADDRESS, fleet.ADDRESS
        )
        state.membership.peers[known.instance_id] = membership_models.Peer(
            known,
            'first',
            connected=True,
            last_heartbeat_ms=NOW_MS,
            last_heartbeat_sent_ms=0,
            listed=True,
        )
    return state


def _ranges() -> abc.Iterator[tuple[int, int, int]]:
    for number in range(BLOCKS):
        first = number * BLOCK_STEP
        yield first, first + BLOCK_ADDRESSES - 1, number % BLOCK_NUMBERS
