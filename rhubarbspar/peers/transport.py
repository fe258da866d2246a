"""Websocket connections between instances, on the loop of Twisted's asyncio reactor."""

import asyncio
import contextlib
import dataclasses
import ipaddress
import logging
import types
import typing
from collections import abc

import websockets
from websockets.asyncio import client
from websockets.asyncio import server

from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import messages
from rhubarbspar.peers import codec
from rhubarbspar.peers import connection
from rhubarbspar.peers import const
from rhubarbspar.peers import errors
from rhubarbspar.peers import handshake
from rhubarbspar.peers import registry

# Failures are reported as counts; the library's own messages would repeat them.
_LIBRARY_LOGGER: typing.Final = logging.getLogger('rhubarbspar.peers.websockets')
_LIBRARY_LOGGER.addHandler(logging.NullHandler())
_LIBRARY_LOGGER.propagate = False

_OPTIONS: typing.Final[abc.Mapping[str, typing.Any]] = types.MappingProxyType(
    {
        'close_timeout': const.CLOSE_TIMEOUT_S,
        'compression': None,
        'logger': _LIBRARY_LOGGER,
        'max_queue': const.RECEIVE_QUEUE_FRAMES,
        'max_size': const.FRAME_MAX_BYTES,
        'open_timeout': const.DIAL_TIMEOUT_S,
        'ping_interval': None,
        'write_limit': const.WRITE_BUFFER_BYTES,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class TransportSettings:
    """Who this instance is and where it listens; port 0 takes a free port."""

    instance_id: str
    incarnation: str
    host: str
    port: int
    fleet_key: bytes


class PeerTransport:
    """Carry out the effects on peers and deliver what happens as events.

    Parameters
    ----------
    settings
        Identity, listening address and fleet key.
    deliver
        Called with each event, never from within ``apply``.
    report
        Called with ``Count`` and ``Log`` effects of the transport itself.
    message_types
        The messages by type name; those of the entry instances if omitted.
    """

    def __init__(
        self,
        settings: TransportSettings,
        deliver: abc.Callable[[events.Event], None],
        report: abc.Callable[[effects.Effect], None],
        message_types: registry.MessageTypes | None = None,
    ) -> None:
        self._settings = settings
        self._deliver = deliver
        self._report = report
        self._codec = codec.Codec(message_types)
        self._connections: dict[str, connection.PeerConnection] = {}
        self._dials: dict[str, tuple[str, asyncio.Task[None]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._handshakes = 0
        self._server: server.Server | None = None
        self._proof = handshake.Handshaker(
            handshake.Identity(settings.instance_id, settings.incarnation),
            settings.fleet_key,
        )

    async def start(self) -> None:
        """Listen for peers."""
        self._server = await server.serve(
            self._accept,
            self._settings.host,
            self._settings.port,
            **_OPTIONS,
        )

    @property
    def port(self) -> int:
        """Return the port on which this instance listens, 0 before ``start``."""
        if self._server is None:
            return 0
        port: int = next(iter(self._server.sockets)).getsockname()[1]
        return port

    @property
    def peer_ids(self) -> list[str]:
        """Return the connected peers, sorted."""
        return sorted(self._connections)

    async def stop(self) -> None:
        """Send what is queued for at most ``DRAIN_TIMEOUT_S``, then close everything."""
        for _, dial in self._dials.values():
            dial.cancel()
        if self._server is not None:
            self._server.close(close_connections=False)
        for link in self._connections.values():
            link.finish()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=const.DRAIN_TIMEOUT_S)
        for peer_id in self.peer_ids:
            self._drop(peer_id)
        running = list(self._tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def apply(self, effect: effects.Effect) -> bool:
        """Carry out an effect on peers; return false for any other effect."""
        match effect:
            case effects.SendMessage(peer_id, message):
                self._send([peer_id], message)
            case effects.Broadcast(message):
                self._send(self.peer_ids, message)
            case effects.DialPeer(peer_id, peer_address):
                self._dial(peer_id, peer_address)
            case effects.ClosePeer(peer_id):
                self._hang_up(peer_id)
            case _:
                return False
        return True

    def _send(self, peer_ids: list[str], message: messages.Message) -> None:
        try:
            frame = self._codec.encode(message)
        except errors.CodecError as error:
            self._count(_reason(error))
            return
        for peer_id in peer_ids:
            link = self._connections.get(peer_id)
            if link is None:
                self._count(const.REASON_NOT_CONNECTED)
            elif not link.enqueue(frame):
                self._count(const.REASON_SEND_QUEUE_FULL)

    def _dial(self, peer_id: str, peer_address: str) -> None:
        if peer_id <= self._settings.instance_id:
            self._count(const.REASON_WRONG_DIRECTION)
            return
        running = self._dials.get(peer_id)
        if running is not None and running[0] == peer_address:
            # A dial ends by itself; restarting it would never succeed on a slow path.
            return
        self._hang_up(peer_id)
        task = self._start(self._call(peer_id, peer_address))
        self._dials[peer_id] = (peer_address, task)

    def _hang_up(self, peer_id: str) -> None:
        _, dial = self._dials.pop(peer_id, ('', None))
        if dial is not None:
            dial.cancel()
        self._drop(peer_id)

    def _drop(self, peer_id: str) -> None:
        link = self._connections.pop(peer_id, None)
        if link is not None:
            link.abort()
            self._deliver_soon(events.PeerDisconnected(peer_id))

    async def _call(self, peer_id: str, peer_address: str) -> None:
        try:
            link = await _open(self._proof, peer_id, peer_address)
        except errors.AddressError:
            self._count(const.REASON_ADDRESS_MALFORMED)
        except errors.HandshakeError:
            self._count(const.REASON_HANDSHAKE_FAILED)
        except (OSError, websockets.WebSocketException):
            self._count(const.REASON_DIAL_FAILED)
        else:
            self._forget_dial(peer_id)
            await self._run(link)
            return
        self._forget_dial(peer_id)

    def _forget_dial(self, peer_id: str) -> None:
        running = self._dials.get(peer_id)
        if running is not None and running[1] is asyncio.current_task():
            self._dials.pop(peer_id)

    async def _accept(self, websocket: server.ServerConnection) -> None:
        if self._handshakes >= const.HANDSHAKES_MAX:
            self._count(const.REASON_TOO_MANY_HANDSHAKES)
            websocket.transport.abort()
            return
        self._handshakes += 1
        try:
            identity = await self._proof.accept(websocket)
        except errors.HandshakeError:
            self._count(const.REASON_HANDSHAKE_FAILED)
            return
        finally:
            self._handshakes -= 1
        await self._start(self._run(connection.PeerConnection(identity, websocket)))

    async def _run(self, link: connection.PeerConnection) -> None:
        peer_id = link.peer.instance_id
        self._drop(peer_id)
        self._connections[peer_id] = link
        self._deliver_soon(events.PeerConnected(peer_id, link.peer.incarnation))
        writer = self._start(link.write())
        with contextlib.ExitStack() as stack:
            stack.callback(self._end, link, writer)
            async for frame in link.read():
                self._receive(link, frame)

    def _end(self, link: connection.PeerConnection, writer: asyncio.Task[None]) -> None:
        link.abort()
        writer.cancel()
        if self._connections.get(link.peer.instance_id) is link:
            self._drop(link.peer.instance_id)

    def _receive(self, link: connection.PeerConnection, frame: str | bytes) -> None:
        peer_id = link.peer.instance_id
        if self._connections.get(peer_id) is not link:
            return
        if isinstance(frame, str):
            self._count(const.REASON_FRAME_MALFORMED)
            return
        try:
            message = self._codec.decode(frame)
        except errors.CodecError as error:
            self._count(_reason(error))
            return
        self._deliver_soon(events.MessageReceived(peer_id, message))

    def _deliver_soon(self, event: events.Event) -> None:
        # Effects are applied while the daemon handles an event; it must not be re-entered.
        asyncio.get_running_loop().call_soon(self._deliver, event)

    def _start(self, coroutine: abc.Coroutine[typing.Any, typing.Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            fields = (('error', type(error).__name__), ('detail', str(error)))
            self._report(effects.Log('peer_task_failed', fields))

    def _count(self, reason: str) -> None:
        self._report(effects.Count(const.METRIC_PEERS, reason))


async def _open(
    proof: handshake.Handshaker,
    peer_id: str,
    peer_address: str,
) -> connection.PeerConnection:
    websocket = await client.connect(_url(peer_address), proxy=None, **_OPTIONS)
    identity = await proof.dial(websocket, peer_id)
    return connection.PeerConnection(identity, websocket)


def _url(peer_address: str) -> str:
    host, _, port = peer_address.rpartition(':')
    try:
        ip_address = ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise errors.AddressError('peer address has no IP number') from error
    if not (port.isdecimal() and int(port) <= const.PORT_MAX):
        raise errors.AddressError('peer address has no port')
    if ip_address.version == const.IP_VERSION_BRACKETS:
        return f'ws://[{ip_address}]:{port}/'
    return f'ws://{ip_address}:{port}/'


def _reason(error: errors.CodecError) -> str:
    match error:
        case errors.FrameTooLargeError():
            return const.REASON_FRAME_TOO_LARGE
        case errors.UnknownMessageError():
            return const.REASON_TYPE_UNKNOWN
        case _:
            return const.REASON_FRAME_MALFORMED
