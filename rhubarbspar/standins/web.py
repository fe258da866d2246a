"""HTTP server of the stand-ins: one receiver for all paths, faults, a control endpoint."""

import typing
import weakref
from collections import abc

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import resource
from twisted.web import server

from rhubarbspar.standins import const
from rhubarbspar.standins import errors
from rhubarbspar.standins import exchanges
from rhubarbspar.standins import faults

_MALFORMED = (AttributeError, KeyError, TypeError, errors.StandinError)

Receiver: typing.TypeAlias = abc.Callable[[exchanges.Exchange], None]


class Reactor(typing.Protocol):
    """The parts of the Twisted reactor that the stand-ins use."""

    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: abc.Callable[..., object],
        *args: object,
        **kw: object,
    ) -> typing.Any:
        """Call a function after a delay in seconds."""

    def listenTCP(  # noqa: N802
        self,
        port: int,
        factory: typing.Any,
        backlog: int = 50,
        interface: str = '',
    ) -> typing.Any:
        """Accept connections on a port."""

    def seconds(self) -> float:
        """Return the time of the clock that ``callLater`` uses."""


class Service:
    """Listens on a port, applies faults and hands requests to a receiver.

    Requests below ``/control/`` go to the control receiver and are free of faults. Of these,
    ``POST /control/faults`` switches faults, and after ``POST /control/stall`` connections that have
    carried a request carry nothing more, while new ones work.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    receiver
        Receives requests.
    control
        Receives control requests that are not about faults.
    on_faults
        Is called after the faults have changed.
    clock
        Its timers govern the delay of requests; the reactor if omitted.
    """

    def __init__(
        self,
        reactor: Reactor,
        receiver: Receiver,
        control: Receiver | None = None,
        on_faults: abc.Callable[[], None] | None = None,
        clock: Reactor | None = None,
    ) -> None:
        """Listen nowhere yet."""
        self.faults = faults.Faults()
        self.port = 0
        self._clock = clock or reactor
        self._reactor = reactor
        self._receiver = receiver
        self._control = control
        self._on_faults = on_faults
        self._open: set[exchanges.Exchange] = set()
        self._stalled: weakref.WeakKeyDictionary[typing.Any, bool] = weakref.WeakKeyDictionary()
        self._frozen: list[exchanges.Exchange] = []
        self._listener: typing.Any = None

    def listen(self, port: int = 0) -> int:
        """Listen on a port and return its number."""
        site = _make_site(self.receive)
        address = const.LISTEN_ADDRESS
        self._listener = self._reactor.listenTCP(port, site, interface=address)
        self.port = self._listener.getHost().port
        return self.port

    def close(self) -> defer.Deferred[None]:
        """Stop listening and close all connections."""
        listener = self._listener
        self._listener = None
        self.abort_all()
        if listener is None:
            return defer.succeed(None)
        return typing.cast('defer.Deferred[None]', defer.maybeDeferred(listener.stopListening))

    def switch_faults(self, changed: faults.Faults) -> None:
        """Switch faults on or off."""
        self.faults = changed
        if changed.down:
            self._frozen.clear()
            self.abort_all()
        if not changed.freeze:
            self._thaw()
        if self._on_faults is not None:
            self._on_faults()

    def abort_all(self) -> None:
        """Close all connections that have carried a request."""
        for exchange in tuple(self._open):
            exchange.abort()
        for channel in tuple(self._stalled):
            if channel.transport is not None:
                channel.transport.abortConnection()

    def stall_connections(self) -> None:
        """Let all connections that have carried a request carry nothing more."""
        for channel in tuple(self._stalled):
            self._stalled[channel] = True
        for exchange in tuple(self._open):
            exchange.stall()

    def receive(self, exchange: exchanges.Exchange) -> None:
        """Apply the faults to a request."""
        if exchange.path.startswith(const.PATH_CONTROL):
            self._receive_control(exchange)
            return
        if self._stalled.setdefault(exchange.channel, False):
            exchange.stall()
            return
        self._open = {known for known in self._open if not known.closed}
        self._open.add(exchange)
        if self.faults.down or self._listener is None:
            exchange.abort()
        elif self.faults.freeze:
            self._frozen.append(exchange)
        elif self.faults.delay_ms:
            delay_s = self.faults.delay_ms / const.MS_PER_S
            self._clock.callLater(delay_s, self._process, exchange)
        else:
            self._process(exchange)

    def _process(self, exchange: exchanges.Exchange) -> None:
        if self.faults.down:
            return
        if self.faults.freeze:
            self._frozen.append(exchange)
            return
        self._receiver(exchange)

    def _thaw(self) -> None:
        frozen = self._frozen
        self._frozen = []
        for exchange in frozen:
            self._process(exchange)

    def _receive_control(self, exchange: exchanges.Exchange) -> None:
        try:
            self._control_request(exchange)
        except _MALFORMED as error:
            exchange.answer_json({'error': str(error)}, const.HTTP_BAD_REQUEST)

    def _control_request(self, exchange: exchanges.Exchange) -> None:
        if exchange.path == const.PATH_CONTROL_FAULTS:
            self.switch_faults(faults.parse(exchange.document(), self.faults))
            exchange.answer_json({})
        elif exchange.path == const.PATH_CONTROL_STALL:
            self.stall_connections()
            exchange.answer_json({})
        elif self._control is None:
            exchange.answer_json({}, const.HTTP_NOT_FOUND)
        else:
            self._control(exchange)


class _Root(resource.Resource):
    def __init__(self, receive: Receiver) -> None:
        initialize: abc.Callable[[], None] = super().__init__
        initialize()
        self.isLeaf = True
        self._receive = receive

    def render(self, request: typing.Any) -> int:
        self._receive(exchanges.Exchange(request))
        return server.NOT_DONE_YET


def _make_site(receive: Receiver) -> interfaces.IProtocolFactory:
    make_site: abc.Callable[..., typing.Any] = server.Site
    return typing.cast(interfaces.IProtocolFactory, make_site(_Root(receive)))
