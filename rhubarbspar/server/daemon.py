"""Daemon of an instance: creates its state, listeners, clients and timers and runs them."""

import asyncio
import importlib
import secrets
import signal
import time
import typing
from collections import abc

from twisted.internet import asyncioreactor
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from rhubarbspar import const as package_const
from rhubarbspar.components.routing import server_index
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.helpers import addresses
from rhubarbspar.helpers import logs
from rhubarbspar.peers import transport as peer_transport
from rhubarbspar.storage import instance_list
from rhubarbspar.storage import store
from rhubarbspar.server import admin_http
from rhubarbspar.server import backend
from rhubarbspar.server import caller_channel
from rhubarbspar.server import caller_http
from rhubarbspar.server import const
from rhubarbspar.server import driver as effect_driver
from rhubarbspar.server import initial_state
from rhubarbspar.server import linger
from rhubarbspar.server import metrics
from rhubarbspar.server import probe
from rhubarbspar.server import settings as instance_settings
from rhubarbspar.server import timers

_INCARNATION_BYTES = 6


def clock_ms() -> float:
    """Return the monotonic time of this process in milliseconds."""
    return time.monotonic() * package_const.MS_PER_S


class Daemon:
    """Runs one instance: its state, listeners, clients and timers."""

    def __init__(self, settings: instance_settings.Settings, reactor: typing.Any) -> None:
        """Create the state and the I/O components without opening a socket."""
        self.exit_code = 0
        self._settings = settings
        self._reactor = reactor
        self._incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self._counters = metrics.Metrics(settings.instance_id)
        self._state = initial_state.create(settings, self._incarnation, clock_ms())
        self._driver = effect_driver.Driver(
            self._state, clock_ms, self._counters, self._stop, self._stop_accepting
        )
        deliver = self._driver.deliver
        self._caller_service = caller_http.CallerService(deliver, clock_ms, self._driver.report)
        self._backends = backend.BackendClient(reactor, deliver, clock_ms)
        self._prober = probe.LoadProber(reactor, deliver)
        self._store = store.StoreClient(reactor, settings.store_url, deliver, clock_ms)
        self._instance_list = instance_list.InstanceListClient(
            reactor,
            settings.instance_list_url,
            deliver,
        )
        self._transport = self._create_transport()
        self._caller_port: typing.Any = None

    def start(self) -> None:
        """Open the listeners and start the timers; the reactor must be running."""
        self._driver.connect(self._caller_service, self._backends, self._store, self._transport)
        started = defer.maybeDeferred(self._open_listeners)
        started.addCallbacks(lambda _: self._start_timers(), self._on_listen_failed)

    def request_stop(self) -> None:
        """Start the planned stop."""
        self._driver.deliver(events.StopRequested())

    def _open_listeners(self) -> 'defer.Deferred[None]':
        self._caller_port = _listen(
            self._reactor, self._settings.caller_address, self._caller_factory()
        )
        _listen(self._reactor, self._settings.admin_address, self._admin_site())
        return defer.Deferred.fromFuture(asyncio.ensure_future(self._transport.start()))

    def _create_transport(self) -> peer_transport.PeerTransport:
        host, port = addresses.split_host_port(self._settings.peer_address)
        return peer_transport.PeerTransport(
            peer_transport.TransportSettings(
                instance_id=self._settings.instance_id,
                incarnation=self._incarnation,
                host=host,
                port=port,
                fleet_key=self._settings.fleet_key.encode(),
            ),
            self._driver.deliver,
            self._driver.report,
        )

    def _start_timers(self) -> None:
        loop = asyncio.get_event_loop()
        timers.call_repeatedly(
            loop, package_const.TICK_INTERVAL_MS / package_const.MS_PER_S, self._tick
        )
        _repeat(self._reactor, const.INSTANCE_LIST_INTERVAL_S, self._instance_list.refresh)
        _repeat(self._reactor, const.LOAD_PROBE_INTERVAL_S, self._probe)
        self._driver.report(effects.Log('started', (('incarnation', self._incarnation),)))

    def _tick(self) -> None:
        self._driver.deliver(events.Tick())

    def _probe(self) -> None:
        by_id = server_index.current(self._state).by_id
        for server_id in list(self._state.routing.servers):
            entry = by_id.get(server_id)
            if entry is not None:
                self._prober.probe(server_id, entry.server.address)

    def _caller_factory(self) -> caller_channel.CallerFactory:
        return caller_channel.CallerFactory(self._caller_service, self._reactor)

    def _admin_site(self) -> admin_http.AdminSite:
        key = self._settings.operator_key
        deliver = self._driver.deliver
        admin = {
            b'configuration': admin_http.ConfigurationResource(key, deliver),
            b'drain': admin_http.DrainResource(key, self.request_stop),
            b'status': admin_http.StatusResource(key, self._state, clock_ms),
        }
        metrics_path = self._settings.metrics_path.lstrip('/').encode()
        root = {
            metrics_path: admin_http.MetricsResource(self._counters),
            b'v1': admin_http.parent_resource({b'admin': admin_http.parent_resource(admin)}),
        }
        return admin_http.AdminSite(admin_http.parent_resource(root))

    def _stop_accepting(self) -> None:
        """Close the listener for callers; open connections stay."""
        self._caller_port.stopListening()

    def _stop(self) -> None:
        """Exit once all callers have disconnected, at the latest after ``CONNECTIONS_LINGER_S``."""
        callers = self._caller_service
        linger.call_when_disconnected(self._reactor, lambda: callers.open_connections, self._exit)

    def _exit(self) -> None:
        self._driver.report(effects.Log('stopped'))
        closing = defer.Deferred.fromFuture(asyncio.ensure_future(self._transport.stop()))
        closing.addBoth(lambda _: self._reactor.stop())

    def _on_listen_failed(self, reason: failure.Failure) -> None:
        fields = (('error', reason.getErrorMessage()),)
        self._driver.report(effects.Log('listen_failed', fields))
        self.exit_code = 1
        self._reactor.stop()


def run(settings: instance_settings.Settings) -> int:
    """Run an instance until its planned stop has ended.

    Returns
    -------
    int
        The exit code of the process.
    """
    logs.configure(settings.log_level)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    reactor = importlib.import_module('twisted.internet.reactor')
    daemon = Daemon(settings, reactor)
    reactor.callWhenRunning(daemon.start)
    reactor.callWhenRunning(_handle_signals, daemon)
    reactor.run(installSignalHandlers=False)
    return daemon.exit_code


def _handle_signals(daemon: Daemon) -> None:
    loop = asyncio.get_event_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_stop)


def _listen(reactor: typing.Any, address: str, factory: typing.Any) -> typing.Any:
    host, port = addresses.split_host_port(address)
    return reactor.listenTCP(port, factory, interface=host)


def _repeat(reactor: typing.Any, interval_s: float, function: abc.Callable[[], None]) -> None:
    loop = task.LoopingCall(function)
    loop.clock = reactor
    loop.start(interval_s, now=True)
