"""Fleet of gateway reducers that report usage, on a simulated network with store and platform."""

import collections
import dataclasses

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.usage import effects as usage_effects
from rhubarbspar.gateway.usage import messages
from rhubarbspar.gateway.usage import state as usage_state
from tests.gateway import conftest
from tests.gateway import fleet_network
from tests.gateway.usage import usage_backends

ACCOUNTS = tuple(models.ClientAccount(f'account-{n}', (f'key-{n}',), None, 0, 0) for n in range(8))
PUBLIC = dataclasses.replace(conftest.READS, route_id='public', path_prefix='/public/', public=True)
WORK_MS = 400
# The simulated clock of the fleet starts here.
START_MS = 1_000_000.0


class UsageFleet(fleet_network.FleetNetwork):
    """A fleet whose deployment has the duty.

    Attributes
    ----------
    backends
        The store's records of the duty, and the platform.
    truth
        Requests that began to run, by window and account.
    lost
        Those of them that a killed instance had not passed on, at most.
    skew_ms
        By how much the time of day of an instance differs.
    usage_messages, usage_parts
        Messages with parts, and parts in them.
    log
        Log lines by name.
    """

    def __init__(self, domains, size, seed=1):
        """Create and register all instances; they have 3 s to connect."""
        self.backends = usage_backends.Backends()
        self.truth = collections.defaultdict(collections.Counter)
        self.skew_ms = collections.Counter()
        self.usage_messages = 0
        self.usage_parts = 0
        self.log = collections.Counter()
        self._request_count = 0
        super().__init__(domains, size, seed)
        services = [models.Service('stock', 3000, 7)]
        configuration = models.make_configuration(1, [conftest.READS, PUBLIC], services, ACCOUNTS)
        self.write('config', configuration)
        for number, domain in enumerate(domains):
            server = conftest.make_server(f'stock-{number}', failure_domain=domain, slots=5000)
            self.write(f'servers/stock-{number}', server)
        self.run(2000)

    def start(self, instance_id, domain):
        """Start an instance with the duty in its settings."""
        super().start(instance_id, domain)
        instance = self.instances[instance_id]
        instance.state.usage = usage_state.create(
            usage_backends.SETTINGS, instance_id, instance.member.incarnation
        )

    def unix_ms(self):
        """Return the true time."""
        return usage_backends.UNIX_MS + self.now_ms - START_MS

    def run_load(self, duration_ms, per_tick=1, instance_ids=None):
        """Let time pass while each tick brings requests to the instances in turn."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.run(fleet_network.TICK_MS)
            names = sorted(instance_ids or self.instances)
            for _ in range(per_tick):
                self._request_count += 1
                number = self._request_count
                self.send_counted(names[number * 7 % len(names)], number % len(ACCOUNTS))

    def send_counted(self, instance_id, account_number):
        """Send a request that a server runs for a while, and note in which window it begins."""
        outputs = self.send(instance_id, access_key=f'key-{account_number}')
        [started] = [output for output in outputs if isinstance(output, effects.StartAttempt)]
        ended = events.AttemptEnded(
            started.attempt_number, events.AttemptResult.ANSWERED, status=200
        )
        self._later(instance_id, ended, added_ms=WORK_MS)
        window_id = usage_backends.SETTINGS.window_at(self.unix_ms())
        self.truth[window_id][started.account_id] += 1

    def holder(self):
        """Return the instance that may call the platform."""
        [holder] = [
            instance
            for instance in self.instances.values()
            if instance.state.usage.duty.may_act(self.now_ms)
        ]
        return holder

    def reported(self):
        """Return the counts by window and account that the platform was sent."""
        return {
            call.window.window_id: {each.account_id: each.count for each in call.window.counts}
            for call in self.backends.calls
        }

    def largest_error(self, windows):
        """Return the largest relative error of an account in some windows."""
        reported = self.reported()
        return max(
            abs(reported[window_id].get(account_id, 0) - count) / count
            for window_id in windows
            for account_id, count in self.truth[window_id].items()
        )

    def lateness_ms(self):
        """Return how long after its end each window was first sent."""
        late = {}
        for call in self.backends.calls:
            window_id = call.window.window_id
            sent_unix_ms = usage_backends.UNIX_MS + call.at_ms - START_MS
            late.setdefault(
                window_id, sent_unix_ms - usage_backends.SETTINGS.end_unix_ms(window_id)
            )
        return late

    def _reduce(self, instance_id, event):
        if isinstance(event, events.ClockTicked):
            skewed_ms = self.unix_ms() + self.skew_ms[instance_id]
            event = dataclasses.replace(event, unix_ms=skewed_ms)
        return super()._reduce(instance_id, event)

    def _apply(self, instance_id, outputs):
        super()._apply(instance_id, outputs)
        self.backends.now_ms = self.now_ms
        for output in outputs:
            match output:
                case usage_effects.UsageEffect():
                    outcome = self.backends.outcome(instance_id, output)
                    if outcome is not None:
                        self._later(instance_id, outcome)
                case core_effects.SendMessage(_, messages.UsagePart(parts)):
                    self.usage_messages += 1
                    self.usage_parts += len(parts)
                case core_effects.Log(name):
                    self.log[name] += 1
