"""Websocket connections between instances, on the event loop of Twisted's asyncio reactor."""

import asyncio
import contextlib
import dataclasses
import functools
import ipaddress
import logging
import socket
import types
import typing
from collections import abc

import websockets
from websockets.asyncio import client
from websockets.asyncio import server

from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import messages
from rhubarbspar.http1 import descriptors
from rhubarbspar.http1 import memory
from rhubarbspar.peers import codec
from rhubarbspar.peers import connection
from rhubarbspar.peers import const
from rhubarbspar.peers import errors
from rhubarbspar.peers import handshake
from rhubarbspar.peers import incoming
from rhubarbspar.peers import registry

# Failures are counted by reason; log lines of the websockets library would only repeat them.
_LIBRARY_LOGGER: typing.Final = logging.getLogger('rhubarbspar.peers.websockets')
_LIBRARY_LOGGER.addHandler(logging.NullHandler())
_LIBRARY_LOGGER.propagate = False

_OPTIONS: typing.Final[abc.Mapping[str, typing.Any]] = types.MappingProxyType(
    {
        'close_timeout': const.CLOSE_TIMEOUT_S,
        'compression': None,
        'logger': _LIBRARY_LOGGER,
        'max_queue': const.RECEIVE_QUEUE_MAX_FRAMES,
        'max_size': const.FRAME_MAX_BYTES,
        'open_timeout': const.DIAL_TIMEOUT_S,
        'ping_interval': None,
        'write_limit': const.WRITE_BUFFER_MAX_BYTES,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class TransportSettings:
    """Identity, listening address and fleet key of this instance; port 0 picks a free port."""

    instance_id: str
    incarnation: str
    host: str
    port: int
    fleet_key: bytes


class PeerTransport:
    """Connect to peers, carry out the reducer's effects on them and deliver the resulting events.

    Parameters
    ----------
    settings
        Identity, listening address and fleet key.
    deliver
        Receives each event; never called from within ``apply``.
    report
        Receives the ``Count`` and ``Log`` effects of the transport itself.
    message_types
        Message classes by type name; those of the entry instances if omitted.
    bound_socket
        Socket on which peers connect; by default one is bound to the listening address.
    handshakes
        Bounds the incoming connections before the end of their handshake; by default there may be
        any number.
    """

    def __init__(
        self,
        settings: TransportSettings,
        deliver: abc.Callable[[events.Event], None],
        report: abc.Callable[[effects.Effect], None],
        message_types: registry.MessageTypes | None = None,
        bound_socket: socket.socket | None = None,
        handshakes: descriptors.ConnectionLimit | None = None,
    ) -> None:
        self._handshakes = handshakes or descriptors.ConnectionLimit()
        self._settings = settings
        self._bound_socket = bound_socket
        self._deliver = deliver
        self._report = report
        self._codec = codec.Codec(message_types)
        self._connections: dict[str, connection.PeerConnection] = {}
        self._dials: dict[str, tuple[str, asyncio.Task[None]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending_handshakes = 0
        self._send_budget = memory.MemoryBudget(const.SEND_QUEUES_MAX_BYTES)
        self._server: server.Server | None = None
        self._handshaker = handshake.Handshaker(
            handshake.Identity(settings.instance_id, settings.incarnation),
            settings.fleet_key,
        )

    async def start(self) -> None:
        """Start listening for incoming connections."""
        listening: dict[str, typing.Any] = {'sock': self._bound_socket}
        if self._bound_socket is None:
            listening = {'host': self._settings.host, 'port': self._settings.port}
        refuse = functools.partial(self._count, const.REASON_OPENING_TOO_LARGE)
        # The library takes a class.
        create: typing.Any = functools.partial(incoming.Connection, self._handshakes, refuse)
        self._server = await server.serve(
            self._accept,
            backlog=incoming.backlog(self._handshakes),
            create_connection=create,
            select_subprotocol=_select_subprotocol,
            **listening,
            **_OPTIONS,
        )

    @property
    def port(self) -> int:
        """Return the listening port, or 0 before ``start``."""
        if self._server is None:
            return 0
        port: int = next(iter(self._server.sockets)).getsockname()[1]
        return port

    @property
    def peer_ids(self) -> list[str]:
        """Return the sorted ids of the connected peers."""
        return sorted(self._connections)

    async def stop(self) -> None:
        """Stop listening, drain the send queues for at most ``DRAIN_TIMEOUT_S``, then close."""
        for _, dial in self._dials.values():
            dial.cancel()
        if self._server is not None:
            self._server.close(close_connections=False)
        for peer in self._connections.values():
            peer.close_after_drain()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=const.DRAIN_TIMEOUT_S)
        for peer_id in self.peer_ids:
            self._disconnect(peer_id)
        remaining = list(self._tasks)
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)

    def apply(self, effect: effects.Effect) -> bool:
        """Carry out an effect on peers; return false if the effect is not one of them."""
        match effect:
            case effects.SendMessage(peer_id, message):
                self._send([peer_id], message)
            case effects.Multicast(peer_ids, message):
                self._send(peer_ids, message)
            case effects.Broadcast(message):
                self._send(self.peer_ids, message)
            case effects.DialPeer(peer_id, peer_address):
                self._dial(peer_id, peer_address)
            case effects.ClosePeer(peer_id):
                self._close_peer(peer_id)
            case _:
                return False
        return True

    def _send(self, peer_ids: abc.Sequence[str], message: messages.Message) -> None:
        try:
            frame = self._codec.encode(message)
        except errors.CodecError as error:
            self._count(_codec_error_reason(error))
            return
        is_bulk = type(message).__name__ in const.BULK_TYPES
        for peer_id in peer_ids:
            peer = self._connections.get(peer_id)
            if peer is None:
                self._count(const.REASON_NOT_CONNECTED)
            elif not peer.enqueue(frame, is_bulk=is_bulk):
                self._count(const.REASON_SEND_QUEUE_FULL)

    def _dial(self, peer_id: str, peer_address: str) -> None:
        if peer_id == self._settings.instance_id:
            self._count(const.REASON_OWN_ADDRESS)
            return
        dial = self._dials.get(peer_id)
        if dial is not None and dial[0] == peer_address:
            # A dial has its own timeouts. If each DialPeer restarted it, it would never complete
            # on a slow network.
            return
        self._close_peer(peer_id)
        task = self._start_task(self._connect(peer_id, peer_address))
        self._dials[peer_id] = (peer_address, task)

    def _close_peer(self, peer_id: str) -> None:
        _, dial = self._dials.pop(peer_id, ('', None))
        if dial is not None:
            dial.cancel()
        self._disconnect(peer_id)

    def _disconnect(self, peer_id: str) -> None:
        peer = self._connections.pop(peer_id, None)
        if peer is not None:
            peer.abort()
            self._deliver_soon(events.PeerDisconnected(peer_id))

    async def _connect(self, peer_id: str, peer_address: str) -> None:
        try:
            peer = await _open_connection(
                self._handshaker, self._send_budget, peer_id, peer_address
            )
        except errors.AddressError:
            self._count(const.REASON_ADDRESS_MALFORMED)
        except errors.HandshakeError:
            self._count(const.REASON_HANDSHAKE_FAILED)
        except (OSError, websockets.WebSocketException):
            self._count(const.REASON_DIAL_FAILED)
        else:
            self._remove_dial(peer_id)
            await self._run_connection(peer, preferred=self._settings.instance_id < peer_id)
            return
        self._remove_dial(peer_id)

    def _remove_dial(self, peer_id: str) -> None:
        dial = self._dials.get(peer_id)
        if dial is not None and dial[1] is asyncio.current_task():
            self._dials.pop(peer_id)

    async def _accept(self, websocket: server.ServerConnection) -> None:
        if self._pending_handshakes >= const.HANDSHAKES_MAX:
            self._count(const.REASON_TOO_MANY_HANDSHAKES)
            websocket.transport.abort()
            return
        self._pending_handshakes += 1
        try:
            identity = await self._handshaker.accept(websocket)
        except errors.HandshakeError:
            self._count(const.REASON_HANDSHAKE_FAILED)
            return
        finally:
            self._pending_handshakes -= 1
        if isinstance(websocket, incoming.Connection):
            websocket.finish_handshake()
        preferred = identity.instance_id < self._settings.instance_id
        peer = connection.PeerConnection(identity, websocket, self._send_budget)
        await self._start_task(self._run_connection(peer, preferred=preferred))

    async def _run_connection(self, peer: connection.PeerConnection, *, preferred: bool) -> None:
        """Use a connection until it ends, instead of any former one to the same peer.

        If two instances dial each other at the same time, both keep the connection that the one
        with the lower id has opened.

        Parameters
        ----------
        preferred
            Whether the instance with the lower id has opened the connection.
        """
        peer_id = peer.identity.instance_id
        former = self._connections.get(peer_id)
        if former is not None and not preferred and former.identity == peer.identity:
            if former.preferred:
                self._count(const.REASON_DUPLICATE_CONNECTION)
                peer.abort()
                return
        peer.preferred = preferred
        self._disconnect(peer_id)
        self._connections[peer_id] = peer
        self._deliver_soon(events.PeerConnected(peer_id, peer.identity.incarnation))
        writer = self._start_task(peer.write())
        with contextlib.ExitStack() as stack:
            stack.callback(self._clean_up, peer, writer)
            async for frame in peer.read():
                self._receive(peer, frame)

    def _clean_up(self, peer: connection.PeerConnection, writer: asyncio.Task[None]) -> None:
        peer.abort()
        writer.cancel()
        if self._connections.get(peer.identity.instance_id) is peer:
            self._disconnect(peer.identity.instance_id)

    def _receive(self, peer: connection.PeerConnection, frame: str | bytes) -> None:
        peer_id = peer.identity.instance_id
        if self._connections.get(peer_id) is not peer:
            return
        if isinstance(frame, str):
            self._count(const.REASON_FRAME_MALFORMED)
            return
        try:
            message = _decode(self._codec, peer, frame)
        except errors.CodecError as error:
            self._count(_codec_error_reason(error))
            return
        if message is not None:
            self._deliver_soon(events.MessageReceived(peer_id, message))

    def _deliver_soon(self, event: events.Event) -> None:
        # Effects are applied while the daemon processes an event; delivering now would re-enter it.
        asyncio.get_running_loop().call_soon(self._deliver, event)

    def _start_task(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            fields = (('error', type(error).__name__), ('detail', str(error)))
            self._report(effects.Log('peer_task_failed', fields))

    def _count(self, reason: str) -> None:
        self._report(effects.Count(const.METRIC_PEERS, reason))


def _decode(
    frame_codec: codec.Codec, peer: connection.PeerConnection, frame: bytes
) -> messages.Message | None:
    """Return the message in a frame; ``None`` while fragments of it are missing."""
    whole_frame = peer.assembler.add(frame)
    return None if whole_frame is None else frame_codec.decode(whole_frame)


async def _open_connection(
    handshaker: handshake.Handshaker,
    send_budget: memory.MemoryBudget,
    peer_id: str,
    peer_address: str,
) -> connection.PeerConnection:
    websocket = await client.connect(
        _websocket_url(peer_address),
        proxy=None,
        subprotocols=(const.SUBPROTOCOL,),
        **_OPTIONS,
    )
    identity = await handshaker.dial(websocket, peer_id)
    return connection.PeerConnection(identity, websocket, send_budget)


def _select_subprotocol(
    _: server.ServerConnection, offered: abc.Sequence[websockets.Subprotocol]
) -> websockets.Subprotocol | None:
    """Accept fragments from a peer that offers them; an earlier release offers nothing."""
    return const.SUBPROTOCOL if const.SUBPROTOCOL in offered else None


def _websocket_url(peer_address: str) -> str:
    host, _, port = peer_address.rpartition(':')
    try:
        ip_address = ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise errors.AddressError('peer address has no valid IP address') from error
    if not (port.isdecimal() and int(port) <= const.PORT_MAX):
        raise errors.AddressError('peer address has no valid port')
    if ip_address.version == const.IPV6_VERSION:
        return f'ws://[{ip_address}]:{port}/'
    return f'ws://{ip_address}:{port}/'


def _codec_error_reason(error: errors.CodecError) -> str:
    match error:
        case errors.FrameTooLargeError():
            return const.REASON_FRAME_TOO_LARGE
        case errors.UnknownMessageError():
            return const.REASON_TYPE_UNKNOWN
        case _:
            return const.REASON_FRAME_MALFORMED
