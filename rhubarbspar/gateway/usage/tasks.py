"""Carries out the effects of the usage reports: calls to the store and to the platform."""

import dataclasses
import typing
from collections import abc

from twisted.internet import defer

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway.usage import effects
from rhubarbspar.gateway.usage import events
from rhubarbspar.gateway.usage import models
from rhubarbspar.http1 import memory
from rhubarbspar.platform import const
from rhubarbspar.platform import errors
from rhubarbspar.platform import store
from rhubarbspar.platform import usage
from rhubarbspar.platform import usage_api


class UsageTasks:
    """Makes the calls, and delivers their outcomes as events.

    Parameters
    ----------
    holder_id
        Id of this instance.
    client
        Client of the store.
    api
        Client of the platform's API.
    clock_ms
        Clock of the process.
    deliver
        Receives the outcomes.
    report
        Receives log lines and counts.
    """

    def __init__(
        self,
        holder_id: str,
        client: store.Store,
        api: usage_api.UsageApi,
        clock_ms: abc.Callable[[], float],
        deliver: abc.Callable[[events.UsageEvent], None],
        report: abc.Callable[[core_effects.Effect], None],
    ) -> None:
        """Store the arguments; no call starts yet."""
        self._holder_id = holder_id
        self._client = client
        self._api = api
        self._clock_ms = clock_ms
        self._deliver = deliver
        self._report = report
        self._closed = False

    def apply(self, effect: effects.UsageEffect) -> None:
        """Carry out an effect."""
        match effect:
            case effects.SendReport():
                self._send(effect)
            case effects.CancelReport():
                self._api.cancel()
            case effects.ReadDuty():
                self._start(self._read_duty(), 'usage_read_duty', events.ReadFailed())
            case effects.ReadWindows():
                self._start(self._read_windows(), 'usage_read_windows', events.ReadFailed())
            case effects.WriteDuty(record):
                self._start(self._write_duty(record), 'usage_write_duty', _UNKNOWN)
            case effects.WriteWindow():
                self._start(self._write_window(effect), 'usage_write_window', _UNKNOWN)

    def close(self) -> None:
        """Abort the call to the platform; outcomes are not delivered any more."""
        self._closed = True
        self._api.close()

    def _send(self, effect: effects.SendReport) -> None:
        window_id = effect.window.window_id
        if self._clock_ms() >= effect.expires_ms:
            # The process was suspended since the call was decided.
            self._deliver(events.ReportEnded(window_id, usage_api.NO_STATUS))
            return

        def finish(status: int) -> None:  # noqa: WPS430 (a callback of one call)
            if not self._closed:
                self._deliver(events.ReportEnded(window_id, status))

        self._api.send(effect.window, self._holder_id, effect.token, finish)

    def _start(
        self,
        call: abc.Coroutine[typing.Any, typing.Any, events.UsageEvent],
        name: str,
        failed: events.UsageEvent,
    ) -> None:
        """Run a call to the store and deliver its outcome, or ``failed``."""

        async def run() -> None:  # noqa: WPS430 (the body of one call)
            outcome = failed
            try:
                outcome = await call
            except (errors.StoreError, errors.RecordError) as error:
                log_fields = (('call', name), ('error', str(error)))
                self._report(core_effects.Log('store_call_failed', log_fields))
                self._report(core_effects.Count('store_failures', name))
            if not self._closed:
                self._deliver(outcome)

        defer.Deferred.fromCoroutine(run())

    async def _read_duty(self) -> events.UsageEvent:
        found = await self._client.read(const.KEY_USAGE_DUTY)
        if found is None or found.content is None:
            return events.DutyRead(None, is_restored=self._client.era > _FIRST_ERA)
        try:
            record = usage.decode_duty(found.content, found.revision)
        except errors.RecordError as error:
            # Nobody holds the duty by such a record; the next holder replaces it.
            log_fields = (('key', const.KEY_USAGE_DUTY), ('error', str(error)))
            self._report(core_effects.Log('record_unreadable', log_fields))
            record = models.DutyRecord('', '', 0, models.NO_WINDOW, revision=found.revision)
        return events.DutyRead(record, is_restored=record.era < self._client.era)

    async def _read_windows(self) -> events.UsageEvent:
        found, _ = await self._client.read_all(const.PREFIX_USAGE_WINDOW)
        return events.WindowsRead(usage.decode_windows(found))

    async def _write_duty(self, record: models.DutyRecord) -> events.UsageEvent:
        condition = store.Condition(const.KEY_USAGE_DUTY, record.revision)
        dated = dataclasses.replace(record, era=self._client.era)
        written = store.Put(const.KEY_USAGE_DUTY, usage.encode_duty(dated))
        return _ended(await self._client.transact((condition,), (written,)))

    async def _write_window(self, effect: effects.WriteWindow) -> events.UsageEvent:
        key = usage.window_key(effect.window.window_id)
        conditions = (
            store.Condition(key, 0),
            store.Condition(const.KEY_USAGE_DUTY, effect.duty_revision),
        )
        written = store.Put(key, usage.encode_window(effect.window))
        deleted = tuple(usage.window_key(each) for each in effect.deleted_windows)
        return _ended(await self._client.transact(conditions, (written,), deleted))


# Era of a store that was never restored.
_FIRST_ERA: typing.Final = 1
_UNKNOWN: typing.Final = events.WriteEnded(events.WriteOutcome.UNKNOWN)


def _ended(revision: int | None) -> events.WriteEnded:
    if revision is None:
        return events.WriteEnded(events.WriteOutcome.CONFLICT)
    return events.WriteEnded(events.WriteOutcome.WRITTEN, revision)


def make_api(
    reactor: typing.Any,
    address: str,
    clock_ms: abc.Callable[[], float],
    budget: memory.MemoryBudget,
) -> usage_api.UsageApi:
    """Return the client of the platform's API."""
    return usage_api.UsageApi(reactor, address, clock_ms, budget)
