"""Listeners of a gateway: callers, readiness checks, look-ups and metrics."""

import typing
from collections import abc

from rhubarbspar.gateway import const
from rhubarbspar.gateway import directory
from rhubarbspar.gateway import models
from rhubarbspar.gateway import settings as gateway_settings
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.helpers import addresses
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server
from rhubarbspar.platform import directory as platform_directory
from rhubarbspar.server import metrics

# Connections that wait to be accepted; a full queue delays callers by seconds.
BACKLOG: typing.Final = 512
_SERVICE_BODY_MAX_BYTES: typing.Final = 65_536

_Answer: typing.TypeAlias = abc.Callable[[messages.Request], messages.Response]


class Listeners:
    """The open ports.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    state
        State of the gateway; it is only read here.
    handle
        Receives the requests of callers.
    counters
        What the metrics address shows.
    clock_ms
        Clock of the gateway.
    """

    def __init__(
        self,
        reactor: typing.Any,
        state: gateway_state.State,
        handle: abc.Callable[[server.Exchange], None],
        counters: metrics.Metrics,
        clock_ms: abc.Callable[[], float],
    ) -> None:
        """Open no port yet."""
        self.callers = server.Site(handle, self._caller_limits, clock_ms)
        self._reactor = reactor
        self._state = state
        self._counters = counters
        self._clock_ms = clock_ms
        self._sites = [self.callers]
        self._port: typing.Any = None
        self._ports: list[typing.Any] = []

    def open(self, settings: gateway_settings.Settings) -> None:
        """Open all ports."""
        self._port = self._listen(settings.caller_address, self.callers)
        self._serve(settings.readiness_address, self._readiness)
        self._serve(settings.directory_address, self._lookup)
        self._serve(settings.metrics_address, self._metrics)

    def stop_accepting(self) -> None:
        """Accept no more connections of callers."""
        self._port.stopListening()

    def close(self) -> None:
        """Close all ports and connections."""
        for port in self._ports:
            port.stopListening()
        for site in self._sites:
            site.abort()

    def sweep(self) -> None:
        """Close the connections that are idle or slow beyond their limits."""
        for site in self._sites:
            site.sweep()

    def _caller_limits(self) -> server.Limits:
        configuration = self._state.declared.configuration
        declared = models.DEFAULT_CALLER_LIMITS if configuration is None else configuration.limits
        return server.Limits(
            declared.header_max_bytes,
            declared.body_max_bytes,
            declared.header_timeout_ms,
            declared.idle_timeout_ms,
        )

    def _readiness(self, _request: messages.Request) -> messages.Response:
        return platform_directory.encode_readiness(self._state.is_ready)

    def _lookup(self, request: messages.Request) -> messages.Response:
        lookup = platform_directory.decode_lookup(request)
        if lookup is None:
            return platform_directory.not_found()
        now_ms = self._clock_ms()
        found = directory.find_instances(self._state, lookup.failure_domain, lookup.region, now_ms)
        return platform_directory.encode_lookup(found.caller_addresses, found.ttl_ms)

    def _metrics(self, request: messages.Request) -> messages.Response:
        accept = messages.find(request.headers, b'accept') or b''
        body, fields = self._counters.render(accept.decode('latin-1'))
        headers = tuple(
            (name.lower().encode(), str(text).encode()) for name, text in fields.items()
        )
        return messages.Response(const.STATUS_OK, headers, body)

    def _serve(self, address: str, answer: _Answer) -> None:
        site = server.Site(
            lambda exchange: exchange.respond(answer(exchange.request)),
            lambda: _SERVICE_LIMITS,
            self._clock_ms,
        )
        self._sites.append(site)
        self._listen(address, site)

    def _listen(self, address: str, site: server.Site) -> typing.Any:
        host, port = addresses.split(address)
        listen = self._reactor.listenTCP
        opened = listen(port, site, backlog=BACKLOG, interface=host)
        self._ports.append(opened)
        return opened


_SERVICE_LIMITS: typing.Final = server.Limits(
    models.DEFAULT_HEADER_MAX_BYTES,
    _SERVICE_BODY_MAX_BYTES,
    models.DEFAULT_HEADER_TIMEOUT_MS,
    models.DEFAULT_IDLE_TIMEOUT_MS,
)
