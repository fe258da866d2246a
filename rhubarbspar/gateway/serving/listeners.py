"""HTTP listeners of a gateway: callers, readiness checks, look-ups and metrics."""

import dataclasses
import socket
import typing
from collections import abc

from rhubarbspar.gateway import const
from rhubarbspar.gateway import models
from rhubarbspar.gateway import settings as gateway_settings
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.explain import codec
from rhubarbspar.gateway.explain import errors
from rhubarbspar.gateway.explain import explanation
from rhubarbspar.gateway.limits import descriptor_limits
from rhubarbspar.gateway.serving import directory
from rhubarbspar.gateway.serving import forward_protocol
from rhubarbspar.gateway.serving import peer_forwards
from rhubarbspar.helpers import addresses
from rhubarbspar.http1 import descriptors
from rhubarbspar.http1 import memory
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server
from rhubarbspar.http1 import transports
from rhubarbspar.platform import directory as platform_directory
from rhubarbspar.server import metrics

_INTERNAL_BODY_MAX_BYTES: typing.Final = 65_536

_JSON_HEADERS: typing.Final = ((b'content-type', b'application/json'),)

_Respond: typing.TypeAlias = abc.Callable[[messages.Request], messages.Response]


class Listeners:
    """The listening ports and the HTTP sites behind them.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    state
        State of the gateway; only read here.
    handle
        Receives each request of a caller.
    counters
        Counters that the metrics address serves.
    clock_ms
        Clock of the gateway.
    budget
        Bounds what requests and responses hold in memory.
    limits
        Bound the open connections at each port.
    """

    def __init__(
        self,
        reactor: typing.Any,
        state: gateway_state.State,
        handle: abc.Callable[[server.Exchange], None],
        counters: metrics.Metrics,
        clock_ms: abc.Callable[[], float],
        budget: memory.MemoryBudget,
        limits: descriptor_limits.Limits,
    ) -> None:
        """Create the callers' site; no port opens yet."""
        self.caller_site = server.Site(
            handle, self._caller_limits, clock_ms, budget, connections=limits.callers
        )
        self._budget = budget
        self._limits = limits
        self._reactor = reactor
        self._state = state
        self._counters = counters
        self._clock_ms = clock_ms
        self._sites = [self.caller_site]
        self._peer_socket: socket.socket | None = None
        self._caller_address = ''
        self._ports: dict[str, typing.Any] = {}

    def open(
        self, settings: gateway_settings.Settings, forwards: peer_forwards.PeerForwards
    ) -> None:
        """Open the ports that are not open yet, except that of the metrics.

        The readiness port comes last: the platform asks there whether callers are served.

        Parameters
        ----------
        forwards
            Receives the attempts that peers send to be passed on.

        Raises
        ------
        OSError, twisted.internet.error.CannotListenError
            If a port is taken.
        """
        self._caller_address = settings.caller_address
        self._listen(settings.caller_address, self.caller_site)
        if self._peer_socket is None:
            self._peer_socket = _bind(settings.peer_address)
        if settings.has_forward_port:
            self._listen(settings.forward_address, self._make_forward_site(forwards))
        limits = self._limits
        self._serve(settings.directory_address, self._answer_lookup, limits.directory)
        self._serve(settings.readiness_address, self._answer_readiness, limits.readiness)

    def release_peer_socket(self) -> socket.socket | None:
        """Hand over the socket on which peers connect; it is bound and does not listen yet."""
        released = self._peer_socket
        self._peer_socket = None
        return released

    def open_metrics(self, address: str) -> None:
        """Open the port of the metrics; raise as ``open`` does."""
        self._serve(address, self._answer_operator, self._limits.metrics)

    def stop_accepting(self) -> None:
        """Accept no more connections of callers than those that wait for it.

        Closing the port would reset these.
        """
        port = self._ports.get(self._caller_address)
        if port is None:
            return
        for _ in range(self._limits.queue_length):
            if not transports.has_waiting_connection(port):
                break
            port.doRead()
        port.stopListening()

    def close(self) -> None:
        """Close all ports and connections."""
        for port in self._ports.values():
            port.stopListening()
        if self._peer_socket is not None:
            self._peer_socket.close()
        for site in self._sites:
            site.abort()

    @property
    def unsent_count(self) -> int:
        """Return the number of callers' and peers' connections with a response under way."""
        return sum(site.unsent_count for site in self._sites)

    def close_expired(self) -> None:
        """Close the connections that exceed their idle or header timeout."""
        for site in self._sites:
            site.close_expired()

    def _caller_limits(self) -> server.Limits:
        """Return the limits in force; the defaults apply before the first configuration."""
        configuration = self._state.declared.configuration
        limits = models.DEFAULT_CALLER_LIMITS if configuration is None else configuration.limits
        return server.Limits(
            limits.header_max_bytes,
            limits.body_max_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )

    def _forward_limits(self) -> server.Limits:
        """Return the limits of what peers send: a caller's request with some more headers."""
        limits = self._caller_limits()
        return server.Limits(
            limits.header_max_bytes + forward_protocol.HEADERS_MAX_BYTES,
            limits.body_max_bytes,
            limits.header_timeout_ms,
            models.DEFAULT_IDLE_TIMEOUT_MS,
        )

    def _answer_readiness(self, _request: messages.Request) -> messages.Response:
        return platform_directory.encode_readiness(self._state.is_ready)

    def _answer_lookup(self, request: messages.Request) -> messages.Response:
        lookup = platform_directory.decode_lookup(request)
        if lookup is None:
            return platform_directory.encode_not_found()
        now_ms = self._clock_ms()
        answer = directory.find_instances(self._state, lookup.failure_domain, lookup.region, now_ms)
        return platform_directory.encode_lookup(answer.caller_addresses, answer.ttl_ms)

    def _answer_operator(self, request: messages.Request) -> messages.Response:
        """Answer at the metrics port: an explanation of a request, or the metrics."""
        target = request.target.decode('latin-1')
        if not codec.is_query(target):
            return self._answer_metrics(request)
        try:
            body = self._explain(target)
        except errors.QueryError as error:
            return messages.Response(const.STATUS_BAD_REQUEST, body=codec.encode_error(error))
        return messages.Response(const.STATUS_OK, _JSON_HEADERS, body)

    def _explain(self, target: str) -> bytes:
        query = codec.decode_target(target)
        explained = explanation.explain(self._state, query, self._clock_ms())
        return codec.encode_explanation(explained)

    def _answer_metrics(self, request: messages.Request) -> messages.Response:
        self._counters.update_connections(self._limits.parts)
        accept = messages.find_header(request.headers, b'accept') or b''
        body, fields = self._counters.render(accept.decode('latin-1'))
        headers = tuple(
            (name.lower().encode(), str(text).encode()) for name, text in fields.items()
        )
        return messages.Response(const.STATUS_OK, headers, body)

    def _serve(
        self, address: str, respond: _Respond, connections: descriptors.ConnectionLimit
    ) -> None:
        """Open a port whose requests are answered at once, on surplus connections too."""

        def answer_once(request: messages.Request) -> messages.Response:  # noqa: WPS430
            return dataclasses.replace(respond(request), keep_alive=False)

        site = server.Site(
            lambda exchange: exchange.respond(respond(exchange.request)),
            lambda: _INTERNAL_LIMITS,
            self._clock_ms,
            self._budget,
            connections=connections,
            refuse_surplus=answer_once,
        )
        self._listen(address, site)

    def _make_forward_site(self, forwards: peer_forwards.PeerForwards) -> server.Site:
        return server.Site(
            forwards.receive,
            self._forward_limits,
            self._clock_ms,
            self._budget,
            forwards.screen,
            self._limits.forwards,
            forwards.refuse_surplus,
        )

    def _listen(self, address: str, site: server.Site) -> None:
        """Open a port, unless it is open already."""
        if address in self._ports:
            return
        host, port = addresses.split_host_port(address)
        listen = self._reactor.listenTCP
        self._ports[address] = listen(port, site, backlog=self._limits.queue_length, interface=host)
        if site is not self.caller_site:
            self._sites.append(site)


def _bind(address: str) -> socket.socket:
    """Return a socket that is bound to an address."""
    host, port = addresses.split_host_port(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    bound.setblocking(False)  # noqa: FBT003 (signature of the library)
    return bound


_INTERNAL_LIMITS: typing.Final = server.Limits(
    models.DEFAULT_HEADER_MAX_BYTES,
    _INTERNAL_BODY_MAX_BYTES,
    models.DEFAULT_HEADER_TIMEOUT_MS,
    models.DEFAULT_IDLE_TIMEOUT_MS,
)
