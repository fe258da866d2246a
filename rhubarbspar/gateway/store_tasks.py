"""Follows the store, keeps the registration of this instance, and writes statuses."""

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
from rhubarbspar.platform import const as platform_const
from rhubarbspar.platform import errors
from rhubarbspar.platform import records
from rhubarbspar.platform import store

# A watch without changes ends after this time, so that a connection that has gone silent is noticed.
WATCH_WAIT_MS: typing.Final = 1500
RETRY_MIN_S: typing.Final = 0.15
RETRY_SPREAD_S: typing.Final = 0.2
# Changes that follow each other closely are read by one call.
COALESCE_S: typing.Final = 0.1
# The lease only serves the first contact of instances; whether one lives is told by heartbeats.
LEASE_TTL_MS: typing.Final = 12_000
RENEW_INTERVAL_S: typing.Final = 4.0
_FLEET_KEY_BYTES: typing.Final = 32


class StoreTasks:
    """The tasks that talk to the store.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    client
        The store.
    member
        This instance.
    deliver
        Receives what the store tells.
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
        """Start nothing yet."""
        self._reactor = reactor
        self._client = client
        self._member = member
        self._deliver = deliver
        self._report = report
        self._lease = 0
        self._leaving = False
        self._revision = 0
        self._following = True
        self._closed = False
        self._resumed: defer.Deferred[None] | None = None

    async def fleet_key(self) -> bytes:
        """Return the key that the instances share; the first one creates it."""
        while not self._closed:
            try:
                return await self._read_fleet_key()
            except errors.StoreError as error:
                self._fail('fleet_key', error)
                await self._pause()
        return b''

    async def follow(self) -> None:
        """Deliver all records, and then each change, for the life of the process."""
        while not self._closed:
            await self._until_following()
            try:
                await self._follow()
            except errors.CompactedError:
                self._revision = 0
                self._report(core_effects.Log('store_compacted'))
            except errors.StoreError as error:
                self._fail('watch', error)
                self._deliver(events.StoreLost(str(error)))
                await self._pause()

    async def register(self) -> None:
        """Keep the registration of this instance until it leaves."""
        while not (self._leaving or self._closed):
            try:
                await self._renew()
            except errors.StoreError as error:
                self._fail('register', error)
                await self._pause()
            else:
                await self._sleep(RENEW_INTERVAL_S)

    async def leave(self) -> None:
        """Withdraw the registration."""
        self._leaving = True
        if not self._lease:
            return
        try:
            await self._client.end_lease(self._lease)
        except errors.StoreError as error:
            # The lease ends by itself soon.
            self._fail('leave', error)

    async def write_status(self, status: models.RolloutStatus) -> None:
        """Record the progress of a rollout; another writer's record is kept."""
        key = records.status_key(status.service_id)
        try:
            written = await self._client.put_if(key, records.encode_status(status), status.revision)
        except errors.StoreError as error:
            self._fail('write_status', error)
            return
        if not written:
            fields = (('key', key), ('phase', status.phase), ('revision', status.revision))
            self._report(core_effects.Log('status_conflict', fields))

    def continue_from(self, revision: int) -> None:
        """Ask for the changes after a revision that peers have told."""
        self._revision = max(self._revision, revision)

    def switch_following(self, *, following: bool) -> None:
        """Follow the changes, or leave that to peers once the present call has ended."""
        self._following = following
        if following and self._resumed is not None:
            self._resumed.callback(None)
            self._resumed = None

    def close(self) -> None:
        """End all tasks; the registration stays until its lease ends."""
        self._closed = True
        self.switch_following(following=True)
        self._client.reset()

    def refresh(self) -> None:
        """Drop the connections, so that the store is asked again at once."""
        self._client.reset()

    async def _until_following(self) -> None:
        if not self._following:
            self._resumed = defer.Deferred()
            await self._resumed

    async def _follow(self) -> None:
        if not self._revision:
            read, revision = await self._client.read_all(platform_const.PREFIX_ALL)
            self._revision = revision
            self._deliver(events.StoreSnapshot(read, revision))
        while self._following and not self._closed:
            changes, revision = await self._client.watch(
                platform_const.PREFIX_ALL, self._revision, WATCH_WAIT_MS
            )
            self._revision = max(self._revision, revision)
            self._deliver(events.StoreChanged(changes, self._revision))
            if changes:
                await self._sleep(COALESCE_S)

    async def _renew(self) -> None:
        if self._lease and await self._client.renew_lease(self._lease):
            return
        lease = await self._client.grant_lease(LEASE_TTL_MS)
        key = records.member_key(self._member.instance_id)
        await self._client.put_if(key, records.encode_member(self._member), None, lease)
        self._lease = lease
        self._report(core_effects.Log('registered', (('lease', lease),)))

    async def _read_fleet_key(self) -> bytes:
        while True:
            record = await self._client.read(platform_const.KEY_FLEET)
            if record is not None and record.content:
                return record.content
            created = secrets.token_hex(_FLEET_KEY_BYTES).encode()
            if await self._client.put_if(platform_const.KEY_FLEET, created, 0):
                return created

    def _fail(self, call: str, error: errors.StoreError) -> None:
        fields = (('call', call), ('error', str(error)))
        self._report(core_effects.Log('store_call_failed', fields))
        self._report(core_effects.Count('store_failures', call))

    async def _pause(self) -> None:
        # Spread, so that the instances do not come back to the store together.
        await self._sleep(RETRY_MIN_S + random.uniform(0, RETRY_SPREAD_S))  # noqa: S311

    def _sleep(self, duration_s: float) -> 'defer.Deferred[None]':
        return task.deferLater(self._reactor, duration_s, lambda: None)
