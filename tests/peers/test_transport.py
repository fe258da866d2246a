"""Tests of the connections between instances, over local sockets."""

import asyncio
import functools
import random
import typing
from collections import abc

import pytest
import websockets
from websockets.asyncio import client
from websockets.asyncio import server

from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.gateway import messages
from rhubarbspar.peers import const
from rhubarbspar.peers import handshake
from rhubarbspar.peers import registry
from rhubarbspar.peers import transport
from tests.peers import conftest

MakeNode = abc.Callable[..., typing.Any]


async def _connect(make_node: MakeNode) -> tuple[typing.Any, typing.Any]:
    low, high = make_node('a'), make_node('b')
    await low.transport.start()
    await high.transport.start()
    low.dial(high)
    await low.until(lambda: events.PeerConnected('b', '1') in low.events)
    await high.until(lambda: events.PeerConnected('a', '1') in high.events)
    return low, high


async def _stop(*nodes: typing.Any) -> None:
    for node in nodes:
        await node.transport.stop()


async def test_messages_arrive_in_order_both_ways(make_node: MakeNode) -> None:
    """Guards against messages that are lost, reordered or attributed to the wrong peer."""
    low, high = await _connect(make_node)
    sent = [routing_models.ForwardCancel(str(number)) for number in range(100)]
    for message in sent:
        low.transport.apply(effects.SendMessage('b', message))
        high.transport.apply(effects.Broadcast(message))
    await high.until(lambda: len(high.events) > len(sent))
    await low.until(lambda: len(low.events) > len(sent))
    assert high.events[1:] == [events.MessageReceived('a', message) for message in sent]
    assert low.events[1:] == [events.MessageReceived('b', message) for message in sent]
    await _stop(low, high)


@pytest.mark.parametrize('is_earlier_release', [False, True])
async def test_long_changes_and_short_messages_arrive_whole(
    make_node: MakeNode, monkeypatch: pytest.MonkeyPatch, is_earlier_release: bool
) -> None:
    """Guards against heartbeats that wait for changes, and fragments that a peer cannot read."""
    if is_earlier_release:
        monkeypatch.setattr(transport, '_select_subprotocol', lambda *_: None)
    types = registry.collect_message_types((messages,))
    low, high = await _connect(functools.partial(make_node, message_types=types))
    records = tuple(
        messages.RelayedRecord(f'k{number}', number, random.Random(number).randbytes(200_000))
        for number in range(3)
    )
    changes = messages.StoreNews(1, 9, records)
    heartbeat = messages.Heartbeat('1', 1, store_reachable=False, leaving=False)
    for message in (changes, heartbeat):
        low.transport.apply(effects.SendMessage('b', message))
    await high.until(lambda: len(high.events) == 3)
    received = [events.MessageReceived('a', message) for message in (heartbeat, changes)]
    assert high.events[1:] == received
    await _stop(low, high)


_UPGRADE = (
    b'GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n'
    b'Sec-WebSocket-Key: MTIzNDU2Nzg5MDEyMzQ1Ng==\r\nSec-WebSocket-Version: 13\r\n\r\n'
)
# Head of a masked binary frame of 1 MiB, its mask, and the beginning of its content.
_FRAME = b'\x82\xff' + (1_048_576).to_bytes(8, 'big') + bytes(4) + bytes(const.OPENING_MAX_BYTES)


@pytest.mark.parametrize(
    'sent',
    [
        b'GET / HTTP/1.1\r\n' + b'x-more: %b\r\n' % bytes(1000) * 20,
        b'GET /%b' % bytes(const.OPENING_MAX_BYTES),
        _UPGRADE + _FRAME,
    ],
    ids=['headers', 'request line', 'frame'],
)
async def test_stranger_that_sends_much_is_disconnected(make_node: MakeNode, sent: bytes) -> None:
    """Guards against strangers at the port for peers whose bytes fill the memory."""
    low, high = await _connect(make_node)
    reader, writer = await asyncio.open_connection('127.0.0.1', high.transport.port)
    writer.write(sent)
    await high.until(lambda: high.count(const.REASON_OPENING_TOO_LARGE) == 1)
    writer.close()
    assert high.transport.peer_ids == ['a']
    await _stop(low, high)


async def test_redial_replaces_the_connection(make_node: MakeNode) -> None:
    """Guards against a second connection to one peer, or a missing ``PeerDisconnected``."""
    low, high = await _connect(make_node)
    low.dial(high)
    expected = [events.PeerConnected, events.PeerDisconnected, events.PeerConnected]
    await low.until(lambda: [type(event) for event in low.events] == expected)
    await high.until(lambda: [type(event) for event in high.events] == expected)
    assert high.transport.peer_ids == ['a']
    await _stop(low, high)


async def test_dial_in_the_other_direction_leaves_the_connection_in_use(
    make_node: MakeNode,
) -> None:
    """Guards against two instances that dial each other and close both connections for ever."""
    low, high = await _connect(make_node)
    handshaker = handshake.Handshaker(handshake.Identity('b', '1'), conftest.FLEET_KEY)
    async with client.connect(f'ws://{low.address}/', proxy=None) as websocket:
        await handshaker.dial(websocket, 'a')
        await low.until(lambda: low.count(const.REASON_DUPLICATE_CONNECTION) == 1)
    low.transport.apply(effects.SendMessage('b', routing_models.ForwardCancel('1')))
    await high.until(lambda: isinstance(high.events[-1], events.MessageReceived))
    assert [type(event) for event in low.events] == [events.PeerConnected]
    assert (low.transport.peer_ids, high.transport.peer_ids) == (['b'], ['a'])
    await _stop(low, high)


@pytest.mark.parametrize('closer', [0, 1])
async def test_both_sides_are_notified_of_a_close(make_node: MakeNode, closer: int) -> None:
    """Guards against keeping a connection that the peer has closed."""
    nodes = await _connect(make_node)
    other_id = nodes[1 - closer].settings.instance_id
    nodes[closer].transport.apply(effects.ClosePeer(other_id))
    for node in nodes:
        await node.until(lambda: isinstance(node.events[-1], events.PeerDisconnected))
        assert not node.transport.peer_ids
    await _stop(*nodes)


async def test_wrong_fleet_key_is_rejected(make_node: MakeNode) -> None:
    """Guards against a peer without the fleet key that joins the fleet."""
    low, high = make_node('a', b'another fleet key of 32 characters'), make_node('b')
    await low.transport.start()
    await high.transport.start()
    low.dial(high)
    await high.until(lambda: high.count(const.REASON_HANDSHAKE_FAILED) == 1)
    await low.until(lambda: low.count(const.REASON_HANDSHAKE_FAILED) == 1)
    assert not (low.events or high.events)
    await _stop(low, high)


@pytest.mark.parametrize(
    ('effect', 'reason'),
    [
        (effects.DialPeer('c', '127.0.0.1'), const.REASON_ADDRESS_MALFORMED),
        (effects.DialPeer('c', 'host:1'), const.REASON_ADDRESS_MALFORMED),
        (effects.DialPeer('c', '127.0.0.1:65536'), const.REASON_ADDRESS_MALFORMED),
        (effects.DialPeer('c', '127.0.0.1:0'), const.REASON_DIAL_FAILED),
        (effects.DialPeer('a', '127.0.0.1:0'), const.REASON_DIAL_FAILED),
        (effects.DialPeer('b', '127.0.0.1:0'), const.REASON_OWN_ADDRESS),
        (effects.SendMessage('c', routing_models.ForwardCancel('1')), const.REASON_NOT_CONNECTED),
    ],
)
async def test_failed_effects_are_counted(
    make_node: MakeNode, effect: effects.Effect, reason: str
) -> None:
    """Guards against an effect that fails without a count or blocks the next one."""
    node = make_node('b')
    for attempt in (1, 2):
        assert node.transport.apply(effect)
        await node.until(lambda: node.count(reason) == attempt)
        await asyncio.sleep(0)


@pytest.mark.parametrize('frame', [b'', b'\xff', 'text', b'0' * 1000])
async def test_unauthenticated_client_is_disconnected(
    make_node: MakeNode, frame: str | bytes
) -> None:
    """Guards against accepting frames from a client that has not passed the handshake."""
    node = make_node('b')
    await node.transport.start()
    async with client.connect(f'ws://{node.address}/', proxy=None) as websocket:
        await websocket.recv()
        await websocket.send(frame)
        with pytest.raises(websockets.ConnectionClosed):
            await websocket.recv()
    assert node.count(const.REASON_HANDSHAKE_FAILED) == 1
    assert not node.events
    await _stop(node)


async def test_send_queue_of_a_stalled_peer_is_bounded(make_node: MakeNode) -> None:
    """Guards against unbounded memory for frames to a peer that does not read."""
    low, high = await _connect(make_node)
    message = routing_models.ForwardAnswer('1', body=bytes(1_000_000))
    frames = 2 * const.SEND_QUEUE_MAX_BYTES // 1_000_000
    for _ in range(frames):
        low.transport.apply(effects.SendMessage('b', message))
    fitting = const.SEND_QUEUE_MAX_BYTES // 1_000_000
    assert low.count(const.REASON_SEND_QUEUE_FULL) == frames - fitting
    await high.until(lambda: len(high.events) == 1 + fitting)
    await _stop(low, high)


async def test_frames_to_all_peers_are_bounded_together(
    make_node: MakeNode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against many peers that do not read, each with a full queue.

    Small messages to a peer that reads are still sent.
    """
    monkeypatch.setattr(const, 'SEND_QUEUES_MAX_BYTES', 4_000_000)
    low, high = await _connect(make_node)
    third = make_node('c')
    await third.transport.start()
    low.dial(third)
    await low.until(lambda: events.PeerConnected('c', '1') in low.events)
    large = routing_models.ForwardAnswer('1', body=bytes(1_000_000))
    for _ in range(8):
        low.transport.apply(effects.SendMessage('b', large))
    refused = low.count(const.REASON_SEND_QUEUE_FULL)
    assert refused > 4
    low.transport.apply(effects.SendMessage('c', routing_models.ForwardCancel('1')))
    assert low.count(const.REASON_SEND_QUEUE_FULL) == refused
    await high.until(lambda: len(high.events) == 1 + 8 - refused)
    low.transport.apply(effects.SendMessage('b', large))
    assert low.count(const.REASON_SEND_QUEUE_FULL) == refused
    await _stop(low, high, third)


async def test_stop_sends_queued_messages_first(make_node: MakeNode) -> None:
    """Guards against losing queued answers at a planned stop."""
    low, high = await _connect(make_node)
    message = routing_models.ForwardAnswer('1', body=bytes(1_000_000))
    for _ in range(5):
        low.transport.apply(effects.SendMessage('b', message))
    await low.transport.stop()
    await high.until(lambda: isinstance(high.events[-1], events.PeerDisconnected))
    assert high.events.count(events.MessageReceived('a', message)) == 5
    await _stop(high)


async def test_pending_dial_is_not_restarted(
    make_node: MakeNode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against repeated dials that cancel each other, so that none ever completes."""
    monkeypatch.setattr(const, 'HANDSHAKE_TIMEOUT_S', 0.5)
    node = make_node('a')
    accepted: list[typing.Any] = []

    async def hold_open(websocket: typing.Any) -> None:
        accepted.append(websocket)
        node.changed.set()
        await websocket.wait_closed()

    async with server.serve(hold_open, '127.0.0.1', 0) as listener:
        port = next(iter(listener.sockets)).getsockname()[1]
        for _ in range(2):
            node.transport.apply(effects.DialPeer('b', f'127.0.0.1:{port}'))
            await node.until(lambda: bool(accepted))
        await node.until(lambda: node.count(const.REASON_HANDSHAKE_FAILED) == 1)
    assert len(accepted) == 1


async def test_concurrent_handshakes_are_limited(
    make_node: MakeNode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unbounded memory for connections that have not passed the handshake."""
    monkeypatch.setattr(const, 'HANDSHAKES_MAX', 0)
    low, high = make_node('a'), make_node('b')
    await high.transport.start()
    low.dial(high)
    await high.until(lambda: high.count(const.REASON_TOO_MANY_HANDSHAKES) == 1)
    await _stop(low, high)


async def test_no_message_is_delivered_after_a_disconnection(make_node: MakeNode) -> None:
    """Guards against late messages from a connection that the reducer has closed."""
    low, high = await _connect(make_node)
    for _ in range(60):
        message = routing_models.ForwardAnswer('1', body=bytes(100_000))
        low.transport.apply(effects.SendMessage('b', message))
    await high.until(lambda: isinstance(high.events[-1], events.MessageReceived))
    high.transport.apply(effects.ClosePeer('a'))
    await low.until(lambda: isinstance(low.events[-1], events.PeerDisconnected))
    await _stop(low, high)
    assert isinstance(high.events[-1], events.PeerDisconnected)
