"""Background tasks that use the store: watch, registration, fleet key and rollout statuses."""

import dataclasses
import random
import secrets
import typing
from collections import abc

from twisted.internet import defer
from twisted.internet import task

from rhubarbspar.core import effects as core_effects
from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.store import revisions
from rhubarbspar.platform import const as platform_const
from rhubarbspar.platform import errors
from rhubarbspar.platform import records
from rhubarbspar.platform import store

# A watch without changes ends after this time, so that a dead connection is detected.
WATCH_WAIT_MS: typing.Final = 1500
# The first watch after a failure shows soon whether the store was restored meanwhile.
FIRST_WATCH_WAIT_MS: typing.Final = 100
RETRY_MIN_S: typing.Final = 0.15
RETRY_JITTER_S: typing.Final = 0.2
# Delay after a change, so that the next watch returns several changes at once: backend servers write
# their registrations again all the time, and every call to the store is charged.
COALESCE_DELAY_S: typing.Final = 0.35
# The registration only serves the first contact of instances; heartbeats show whether one is live.
LEASE_TTL_MS: typing.Final = 120_000
RENEW_INTERVAL_S: typing.Final = 40.0
# A restore of the store, which may have lost the registration, is noticed within this time.
RESTORE_CHECK_S: typing.Final = 1.0
_FLEET_KEY_BYTES: typing.Final = 32


class StoreTasks:
    """Watches the store, keeps the registration alive and writes rollout statuses.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    client
        Client of the store.
    member
        Registration of this instance.
    deliver
        Receives snapshots, changes and failures of the watch as events.
    report
        Receives log lines and counts.
    """

    def __init__(
        self,
        reactor: typing.Any,
        client: store.Store,
        member: models.Member,
        deliver: abc.Callable[[core_events.Event], None],
        report: abc.Callable[[core_effects.Effect], None],
    ) -> None:
        """Store the arguments; no task starts yet."""
        self._reactor = reactor
        self._client = client
        self._member = member
        self._deliver = deliver
        self._report = report
        # The lease of the registration, and the newest one under which it may be written.
        self._lease = 0
        self._granted_lease = 0
        self._fleet_key = b''
        # Era of the store as far as it is known, and the one in which this instance registered.
        self._era = 0
        self._granted_era = 0
        self._registered_era = 0
        self._deregistered = False
        self._revision = 0
        self._following = True
        self._closed = False
        self._following_started: defer.Deferred[None] | None = None

    async def fleet_key(self) -> bytes:
        """Return the key that all instances share; create it if the store has none.

        Empty if the tasks were closed before the store answered.
        """
        while not self._closed:
            try:
                self._fleet_key = await self._read_fleet_key()
            except errors.StoreError as error:
                self._report_failure('fleet_key', error)
                await self._wait_before_retry()
            else:
                return self._fleet_key
        return b''

    async def watch_records(self) -> None:
        """Deliver a snapshot of all records and then each change, until ``close`` is called."""
        while not self._closed:
            await self._wait_until_following()
            try:
                await self._watch()
            except errors.CompactedError as error:
                self._revision = 0
                log_fields = (('reason', str(error)), ('era', self._client.era))
                self._report(core_effects.Log('store_compacted', log_fields))
            except errors.StoreError as error:
                self._report_failure('watch', error)
                self._deliver(events.StoreLost(str(error)))
                await self._wait_before_retry()
                if isinstance(error, errors.TooLargeError):
                    # The records are read in pages instead, which have an upper bound.
                    self._revision = 0

    async def keep_registered(self) -> None:
        """Renew the registration of this instance until ``deregister`` or ``close`` is called."""
        while not (self._deregistered or self._closed):
            try:
                await self._renew_registration()
            except errors.StoreError as error:
                self._report_failure('register', error)
                await self._wait_before_retry()
            else:
                await self._wait_before_renewal()

    async def deregister(self) -> None:
        """Delete the registration by ending its lease, also while it is written."""
        self._deregistered = True
        if not self._granted_lease or self._granted_era != self._known_era():
            # A restored store may have given the lease's id to another instance.
            return
        try:
            await self._client.revoke_lease(self._granted_lease)
        except errors.StoreError as error:
            # The lease ends without renewal after ``LEASE_TTL_MS``.
            self._report_failure('leave', error)

    async def read_prefix(self, prefix: str) -> None:
        """Read the records below a prefix and deliver them; a failure is logged and counted."""
        try:
            found, revision = await self._client.read_all(prefix)
        except errors.StoreError as error:
            self._report_failure('read_prefix', error)
            return
        if not self._closed:
            self._deliver(events.PrefixRead(prefix, found, revision))

    async def write_status(self, status: models.RolloutStatus) -> None:
        """Write the progress of a rollout, unless another instance has changed its record."""
        key = records.rollout_status_key(status.service_id)
        try:
            written = await self._client.put_if(key, records.encode_status(status), status.revision)
        except errors.StoreError as error:
            self._report_failure('write_status', error)
            return
        if not written:
            log_fields = (('key', key), ('phase', status.phase), ('revision', status.revision))
            self._report(core_effects.Log('status_conflict', log_fields))

    def advance_to(self, revision: int) -> None:
        """Continue the watch after a revision that is known from peers."""
        self._revision = max(self._revision, revision)
        self._era = max(self._era, revisions.era_of(revision))

    def switch_following(self, *, following: bool) -> None:
        """Start to watch the store, or stop once the present call has ended."""
        self._following = following
        if following and self._following_started is not None:
            self._following_started.callback(None)
            self._following_started = None

    def close(self) -> None:
        """End all tasks; the registration remains until its lease ends."""
        self._closed = True
        self.switch_following(following=True)
        self._client.reset()

    def reconnect(self) -> None:
        """Close the connections, so that the calls under way fail and are repeated soon."""
        self._client.reset()

    async def _wait_until_following(self) -> None:
        if not self._following:
            self._following_started = defer.Deferred()
            await self._following_started

    async def _watch(self) -> None:
        """Read a snapshot if none is known, then deliver changes while this instance follows."""
        if not self._revision:
            snapshot = await self._client.read_fitting(platform_const.PREFIX_ALL)
            self._revision = snapshot.revision
            log_fields = (
                ('era', self._client.era),
                ('revision', snapshot.revision),
                ('records', len(snapshot.records)),
                ('missing', len(snapshot.missing)),
            )
            self._report(core_effects.Log('store_read', log_fields))
            kept = records.without_duties(snapshot.records)
            self._deliver(dataclasses.replace(snapshot, records=kept))
        wait_ms = FIRST_WATCH_WAIT_MS
        while self._following and not self._closed:
            changes, revision = await self._client.watch(
                platform_const.PREFIX_ALL, self._revision, wait_ms
            )
            wait_ms = WATCH_WAIT_MS
            self._revision = max(self._revision, revision)
            news = records.without_duties(changes)
            self._deliver(events.StoreChanged(news, self._revision))
            if changes:
                await _sleep(self._reactor, COALESCE_DELAY_S)

    async def _renew_registration(self) -> None:
        """Renew the lease; after its end or a restore of the store, register with a new lease."""
        era = self._known_era()
        if self._lease and self._registered_era == era:
            is_renewed = await self._client.renew_lease(self._lease)
            if is_renewed and self._known_era() == era:
                return
        await self._register()

    async def _register(self) -> None:
        """Write the registration with a new lease, and the key of the fleet if it is missing."""
        lease = await self._client.grant_lease(LEASE_TTL_MS)
        era = self._known_era()
        if self._deregistered:
            return
        self._granted_lease = lease
        self._granted_era = era
        key = records.member_key(self._member.instance_id)
        await self._client.put_if(key, records.encode_member(self._member), None, lease)
        if self._fleet_key:
            await self._client.put_if(platform_const.KEY_FLEET, self._fleet_key, 0)
        self._lease = lease
        self._registered_era = era
        self._report(core_effects.Log('registered', (('lease', lease), ('era', era))))

    async def _wait_before_renewal(self) -> None:
        """Wait until the lease has to be renewed, or the store was restored."""
        waited_s = 0.0
        while waited_s < RENEW_INTERVAL_S and self._registered_era == self._known_era():
            await _sleep(self._reactor, RESTORE_CHECK_S)
            waited_s += RESTORE_CHECK_S

    def _known_era(self) -> int:
        """Return the newest era that the store or a peer has named."""
        return max(self._era, self._client.era)

    async def _read_fleet_key(self) -> bytes:
        record = await self._client.read(platform_const.KEY_FLEET, allow_stale=True)
        while True:
            if record is not None and record.content:
                return record.content
            new_key = secrets.token_hex(_FLEET_KEY_BYTES).encode()
            if await self._client.put_if(platform_const.KEY_FLEET, new_key, 0):
                return new_key
            record = await self._client.read(platform_const.KEY_FLEET)

    def _report_failure(self, call: str, error: errors.StoreError) -> None:
        log_fields = (('call', call), ('error', str(error)))
        self._report(core_effects.Log('store_call_failed', log_fields))
        self._report(core_effects.Count('store_failures', call))

    async def _wait_before_retry(self) -> None:
        # Random jitter keeps the instances from calling the store again at the same time.
        delay_s = RETRY_MIN_S + random.uniform(0, RETRY_JITTER_S)  # noqa: S311
        await _sleep(self._reactor, delay_s)


def _sleep(reactor: typing.Any, duration_s: float) -> 'defer.Deferred[None]':
    return task.deferLater(reactor, duration_s, lambda: None)
