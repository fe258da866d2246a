"""Store and platform of the usage reports in the tests without network."""

import dataclasses

from rhubarbspar.gateway.usage import effects
from rhubarbspar.gateway.usage import events
from rhubarbspar.gateway.usage import models

SETTINGS = models.UsageSettings('127.0.0.1:1', 5000, 10_000, 3000, 50)
UNIX_MS = 1.8e12
FIRST = 360_000_000


@dataclasses.dataclass
class Call:
    """A call that reached the platform."""

    holder_id: str
    token: int
    window: models.WindowCounts
    at_ms: float


class Backends:
    """A store and a platform that answer at once, unless the test says otherwise.

    Attributes
    ----------
    store_mode
        ``ok``, ``down``, ``lost`` (writes take effect, responses are lost) or ``late`` (writes that
        failed take effect by ``land_late``).
    cut_off
        Instances that the store rejects.
    status
        Status of the platform's answers; 0 loses the answer of an accepted report.
    """

    def __init__(self):
        """Create an empty store."""
        self.now_ms = 0.0
        self.revision = 0
        self.era = 1
        self.record = None
        self.windows = {}
        self.store_mode = 'ok'
        self.cut_off = set()
        self.status = 200
        self.calls = []
        self.late = []

    def outcome(self, name, output):
        """Return the event that follows an effect."""
        match output:
            case effects.SendReport(window, token):
                self.calls.append(Call(name, token, window, self.now_ms))
                return events.ReportEnded(window.window_id, self.status)
            case effects.ReadDuty() | effects.ReadWindows() if self.is_down(name):
                return events.ReadFailed()
            case effects.ReadDuty():
                written_era = 1 if self.record is None else self.record.era
                return events.DutyRead(self.record, is_restored=written_era < self.era)
            case effects.ReadWindows():
                return events.WindowsRead(tuple(self.windows.values()))
            case effects.WriteDuty() | effects.WriteWindow():
                return self.write(name, output)
        return None

    def is_down(self, name):
        """Return whether the store answers no call of an instance."""
        return self.store_mode == 'down' or name in self.cut_off

    def write(self, name, output):
        """Return the outcome of a conditional write."""
        if self.is_down(name):
            return events.WriteEnded(events.WriteOutcome.UNKNOWN)
        if self.store_mode == 'late':
            self.late.append(output)
            return events.WriteEnded(events.WriteOutcome.UNKNOWN)
        is_written = self.apply(output)
        if self.store_mode == 'lost':
            return events.WriteEnded(events.WriteOutcome.UNKNOWN)
        if is_written:
            return events.WriteEnded(events.WriteOutcome.WRITTEN, self.revision)
        return events.WriteEnded(events.WriteOutcome.CONFLICT)

    def apply(self, output):
        """Write if the conditions hold; return whether they do."""
        known = 0 if self.record is None else self.record.revision
        match output:
            case effects.WriteDuty(record) if record.revision == known:
                self.revision += 1
                self.record = dataclasses.replace(record, revision=self.revision, era=self.era)
                return True
            case effects.WriteWindow(window, revision, deleted):
                if window.window_id in self.windows or revision != known:
                    return False
                self.revision += 1
                self.windows[window.window_id] = window
                for window_id in deleted:
                    self.windows.pop(window_id, None)
                return True
        return False

    def land_late(self):
        """Let the delayed writes take effect, if their conditions still hold."""
        landed = [self.apply(output) for output in self.late]
        self.late.clear()
        return landed

    def restore(self, record, windows):
        """Replace the records by earlier ones."""
        self.era += 1
        self.revision += 100
        self.record = record and dataclasses.replace(record, revision=self.revision)
        self.windows = windows

    def holder_ids(self):
        """Return the holders in the order of their terms."""
        terms = []
        for call in self.calls:
            if not terms or terms[-1] != call.holder_id:
                terms.append(call.holder_id)
        return terms

    def check(self):
        """Check what the platform must never see."""
        counts = {}
        last_token = 0
        owners = {}
        for call in self.calls:
            assert counts.setdefault(call.window.window_id, call.window) == call.window
            assert call.token >= last_token
            assert owners.setdefault(call.token, call.holder_id) == call.holder_id
            last_token = call.token
        terms = [(self.calls[0].holder_id, self.calls[0].at_ms)] if self.calls else []
        for call in self.calls:
            if call.holder_id != terms[-1][0]:
                terms.append((call.holder_id, call.at_ms))
        for earlier, later in zip(terms, terms[2:], strict=False):
            assert earlier[0] != later[0] or later[1] - earlier[1] > SETTINGS.lease_ms

    def sent(self):
        """Return the windows in the order of their first calls."""
        return list(dict.fromkeys(call.window.window_id for call in self.calls))
