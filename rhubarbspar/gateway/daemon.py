"""The gateway daemon: builds the parts of a gateway and runs them in one process."""

import asyncio
import importlib
import signal
import sys
import time
import typing

from twisted.internet import asyncioreactor
from twisted.internet import defer

from rhubarbspar import const as package_const
from rhubarbspar import exceptions
from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import driver as effect_driver
from rhubarbspar.gateway import events
from rhubarbspar.gateway import initial_state
from rhubarbspar.gateway import instance_limits
from rhubarbspar.gateway import log_stream
from rhubarbspar.gateway import process_usage
from rhubarbspar.gateway import settings as gateway_settings
from rhubarbspar.gateway import settings_wait
from rhubarbspar.gateway import settings_watch
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway import supervision
from rhubarbspar.gateway.serving import backend_client
from rhubarbspar.gateway.serving import caller_requests
from rhubarbspar.gateway.serving import listeners
from rhubarbspar.gateway.store import store_tasks
from rhubarbspar.gateway.usage import tasks as usage_tasks
from rhubarbspar.helpers import logs
from rhubarbspar.peers import transport as peer_transport
from rhubarbspar.platform import store
from rhubarbspar.server import metrics

_SWEEP_INTERVAL_S: typing.Final = 0.25
_SETTINGS_CHECK_INTERVAL_S: typing.Final = 1.0
EXIT_START_FAILED: typing.Final = 1


def clock_ms() -> float:
    """Return the time since the machine's start, suspension included, in milliseconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * package_const.MS_PER_S


class Daemon:
    """One gateway: its state, listeners and clients.

    Parameters
    ----------
    settings_path
        The settings file, read again when it changes.
    settings
        Its present content.
    reactor
        The reactor that the process runs.
    limits
        What the platform grants this instance; unknown by default.
    """

    def __init__(
        self,
        settings_path: str,
        settings: gateway_settings.Settings,
        reactor: typing.Any,
        limits: instance_limits.InstanceLimits = instance_limits.UNKNOWN,
    ) -> None:
        """Create all parts without opening a socket."""
        self._budget = initial_state.make_budget(limits.memory_mb)
        self._limits = initial_state.make_limits(limits.descriptor_count, limits.memory_mb)
        self._settings = settings
        self._settings_watch = settings_watch.SettingsWatch(settings_path)
        self._reactor = reactor
        self._counters = metrics.Metrics(settings.instance_id)
        self._counters.add_gauges(process_usage.read_gauges)
        self._member = initial_state.make_member(settings, limits)
        store_limits = initial_state.make_store_limits(settings, self._budget)
        self._state = initial_state.create(settings, self._member, store_limits)
        process = effect_driver.Process(
            lambda: self._listeners.caller_site.close_idle(),
            lambda: self._listeners.stop_accepting(),
            self._exit,
        )
        self._driver = effect_driver.Driver(self._state, clock_ms, self._counters, process)
        self._memory_watch = process_usage.watch_memory(limits.memory_mb, self._driver.report)
        deliver = self._driver.deliver
        self._callers = caller_requests.CallerRequests(deliver)
        self._backends = backend_client.BackendClient(
            reactor, deliver, clock_ms, self._budget, self._limits.servers
        )
        store_client = store.Store(
            reactor,
            settings.store_address,
            clock_ms,
            store_limits,
            self._budget,
            self._limits.store,
        )
        self._store = store_tasks.StoreTasks(
            reactor,
            store_client,
            self._member,
            deliver,
            self._driver.report,
        )
        self._driver.connect(self._callers, self._backends, self._store)
        self._driver.usage = self._make_usage_tasks(store_client)
        self._listeners = listeners.Listeners(
            reactor,
            self._state,
            self._callers.receive,
            self._counters,
            clock_ms,
            self._budget,
            self._limits,
        )
        self._listeners.caller_site.on_refusal = self._report_refusal
        self._last_tick_ms = clock_ms()
        self._supervisor = supervision.Supervisor(
            reactor, self._driver.report_exception, self._end_start
        )
        self._is_open = False
        self._is_exiting = False
        self.exit_code = 0

    def start(self) -> None:
        """Open the listeners and start the tasks; to be called while the reactor runs."""
        self._load_changed_settings()
        tick_interval_s = package_const.TICK_INTERVAL_MS / package_const.MS_PER_S
        self._supervisor.repeat('tick', tick_interval_s, self._tick)
        self._supervisor.repeat('sweep', _SWEEP_INTERVAL_S, self._sweep)
        self._supervisor.repeat('settings', _SETTINGS_CHECK_INTERVAL_S, self._check_settings)
        self._supervisor.run_start('start', self._open)

    def close(self) -> None:
        """End all tasks and close all ports and connections; the process continues."""
        self._supervisor.close()
        self._listeners.close()
        self._backends.close()
        self._store.close()
        if self._driver.usage is not None:
            self._driver.usage.close()

    def request_stop(self) -> None:
        """Begin a planned stop; the process exits at once if its ports are not open yet."""
        self._listeners.caller_site.closing = True
        if self._is_open:
            self._driver.deliver(core_events.StopRequested())
            return
        self._supervisor.close()
        self._driver.report(core_effects.Log('stopped'))
        self._exit()

    def reload(self) -> None:
        """Read the settings again; if they are absent or invalid, the last ones stay in force."""
        try:
            settings = self._settings_watch.load()
        except exceptions.RhubarbsparError as error:
            self._driver.report(core_effects.Log('settings_invalid', (('error', str(error)),)))
            return
        self._settings = settings
        self._state.bounds = gateway_state.Bounds(settings.bounds.stop_grace)
        self._state.budget.limits = initial_state.budget_limits(settings)
        self._state.rollouts.exposure = initial_state.exposure_limits(settings)
        self._state.network.regions = settings.regions
        self._driver.report(core_effects.Log('settings_loaded'))
        self._report_defaults()

    def _make_usage_tasks(self, client: store.Store) -> usage_tasks.UsageTasks | None:
        """Return what makes the calls of the usage reports, if the deployment has them."""
        usage = self._state.usage
        if usage is None:
            return None
        self._counters.add_gauges(usage.read_gauges)
        address = usage.settings.api_address
        return usage_tasks.UsageTasks(
            self._member.instance_id,
            client,
            usage_tasks.make_api(self._reactor, address, clock_ms, self._budget),
            clock_ms,
            self._driver.deliver,
            self._driver.report,
        )

    def _load_changed_settings(self) -> None:
        """Reload settings that have changed since they were first read.

        Until the daemon handles it, the signal for that is ignored.
        """
        try:
            present = self._settings_watch.load()
        except exceptions.RhubarbsparError:
            return
        if present != self._settings:
            self.reload()

    def _report_refusal(self, status: int) -> None:
        """Log and count a request that was refused before it was complete."""
        fields = (
            ('status', status),
            ('held_bytes', self._budget.held_bytes),
            ('limit_bytes', round(self._budget.limit_bytes)),
        )
        self._driver.report(core_effects.Log('connection_refused', fields))
        count = core_effects.Count(package_const.METRIC_CONNECTION_REFUSALS, str(status))
        self._driver.report(count)

    def _report_connections(self) -> None:
        """Log the kinds of connections whose limit was reached since the last call."""
        for part in self._limits.parts:
            counts = part.take_new_counts()
            if counts is not None:
                fields = (('kind', part.kind), ('open', part.open_count), ('limit', part.limit))
                self._driver.report(core_effects.Log('connections_full', (*fields, *counts)))

    def _report_defaults(self) -> None:
        """Log the bounds that the settings do not give."""
        names = self._settings.defaulted_bounds
        if names:
            fields = (('names', ','.join(names)),)
            self._driver.report(core_effects.Log('bounds_defaulted', fields))

    async def _open(self) -> None:
        """Bind all ports, then start the tasks that use the store.

        A port that is bound later may be taken by an outgoing connection of this process.
        """
        await self._supervisor.bind(
            'ports', lambda: self._listeners.open(self._settings, self._driver.forwards)
        )
        if self._is_exiting:
            return
        self._is_open = True
        self._supervisor.run('watch_records', self._store.watch_records)
        self._supervisor.run('keep_registered', self._store.keep_registered)
        self._supervisor.run('metrics', self._open_metrics)
        self._supervisor.run_start('peers', self._start_peer_transport)
        incarnation = self._member.incarnation
        self._driver.report(core_effects.Log('started', (('incarnation', incarnation),)))
        self._report_defaults()

    async def _open_metrics(self) -> None:
        """Open the metrics port; without it, the instance serves callers all the same."""
        if self._settings.shares_metrics_port:
            self._driver.report(core_effects.Log('metrics_port_taken'))
            return
        address = self._settings.metrics_address
        await self._supervisor.bind('metrics', lambda: self._listeners.open_metrics(address))

    async def _start_peer_transport(self) -> None:
        """Connect to the peers once the shared key is known."""
        key = await self._store.fleet_key()
        if not key:
            return
        self._backends.fleet_key = key
        self._driver.forwards.fleet_key = key
        transport = peer_transport.PeerTransport(
            initial_state.peer_settings(self._settings, self._member, key),
            self._driver.deliver,
            self._driver.report,
            initial_state.peer_message_types(),
            self._listeners.release_peer_socket(),
            self._limits.handshakes,
        )
        await defer.Deferred.fromFuture(asyncio.ensure_future(transport.start()))
        self._driver.transport = transport

    def _tick(self) -> None:
        """Deliver a tick, with the time by which it is late."""
        now_ms = clock_ms()
        paused_ms = max(0.0, now_ms - self._last_tick_ms - package_const.TICK_INTERVAL_MS)
        self._last_tick_ms = now_ms
        self._store.advance_to(self._state.replica.revision)
        unsent_count = self._listeners.unsent_count if self._state.is_stopping else 0
        unix_ms = time.time() * package_const.MS_PER_S
        is_memory_short = self._budget.is_short
        self._driver.deliver(events.ClockTicked(paused_ms, unsent_count, is_memory_short, unix_ms))

    def _sweep(self) -> None:
        self._listeners.close_expired()
        self._backends.close_expired()

    def _check_settings(self) -> None:
        """Report dropped log lines, memory and connections; reload settings that have changed.

        While the file is absent, the settings stay in force.
        """
        self._driver.report_dropped_lines()
        self._memory_watch.check()
        self._report_connections()
        if self._settings_watch.has_changed():
            self.reload()

    def _exit(self) -> None:
        if self._is_exiting:
            return
        self._is_exiting = True
        # The delay lets the last responses be written before the process ends.
        self._reactor.callLater(_EXIT_DELAY_S, self._reactor.stop)

    def _end_start(self, _error: Exception) -> None:
        """End the process: it cannot serve, and the platform starts it again.

        A planned stop that has begun ends as planned.
        """
        if self._state.is_stopping or self._is_exiting:
            return
        self.exit_code = EXIT_START_FAILED
        self._exit()


_EXIT_DELAY_S: typing.Final = 0.15
_STOP_SIGNALS: typing.Final = (signal.SIGINT, signal.SIGTERM)


def run(settings_path: str) -> int:
    """Run a gateway until its planned stop has ended; return the exit code.

    It is 0, or ``EXIT_START_FAILED`` if a port could not be opened.

    SIGTERM and SIGINT start a planned stop, SIGHUP reloads the settings.
    """
    settings = settings_wait.load(settings_path)
    stream = log_stream.LogStream(sys.stdout.fileno())
    logs.configure(settings.log_level, stream.write)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    reactor = importlib.import_module('twisted.internet.reactor')
    daemon = Daemon(settings_path, settings, reactor, instance_limits.read())
    reactor.callWhenRunning(daemon.start)
    _handle_signals(loop, daemon)
    reactor.run(installSignalHandlers=False)
    _ignore_signals()
    stream.flush()
    return daemon.exit_code


def _handle_signals(loop: asyncio.AbstractEventLoop, daemon: Daemon) -> None:
    """Let the loop handle the signals; one that comes before it runs is handled when it does."""
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)


def _ignore_signals() -> None:
    """Ignore signals: the interpreter restores the default actions of others when it ends."""
    for number in (*_STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
