"""Client of the key-value store (etcd v3 JSON gateway)."""

import functools
import json
import math
import typing
from collections import abc

import loguru
from twisted.internet import defer
from twisted.python import failure

from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.storage import const
from rhubarbspar.storage import errors
from rhubarbspar.storage import http
from rhubarbspar.storage import protocol
from rhubarbspar.storage import watch

StoreEffect: typing.TypeAlias = (
    effects.LeaseGrant
    | effects.LeaseRenew
    | effects.StoreGet
    | effects.StoreTransaction
    | effects.StoreUnwatch
    | effects.StoreWatch
)
_ReadOrLeaseCall: typing.TypeAlias = effects.LeaseGrant | effects.LeaseRenew | effects.StoreGet
_Deliver: typing.TypeAlias = abc.Callable[[events.Event], None]


class Store:
    """Awaitable calls to the store, for coroutines that Twisted runs.

    All methods can raise ``UnavailableError``, ``AnswerError`` (after either of them, a write may
    have taken effect) and ``RejectedError``.
    """

    def __init__(self, http_client: http.JsonClient) -> None:
        """Send all calls through a client of the store's address."""
        self._http = http_client

    async def get(self, key: str) -> events.StoreRecord:
        """Return one record; an absent key gives a record of revision 0."""
        records, _revision = await self.read(key, prefix=False)
        return records[0]

    async def list(self, prefix: str) -> tuple[events.StoreRecord, ...]:
        """Return all records whose keys have a prefix."""
        records, _revision = await self.read(prefix, prefix=True)
        return records

    async def read(self, key: str, *, prefix: bool) -> tuple[tuple[events.StoreRecord, ...], int]:
        """Return the records of a key or prefix and the store's revision."""
        request = protocol.range_request(key, prefix=prefix)
        answer = await self._http.post(const.PATH_RANGE, request)
        return protocol.range_records(answer, key, prefix=prefix), protocol.revision(answer)

    async def put_if(
        self,
        key: str,
        new_value: bytes,
        revision: int,
        lease_id: str | None = None,
    ) -> int:
        """Write a value if its key has the given revision (0: is absent); return the new revision.

        Raises
        ------
        errors.ConflictError
            If the key has another revision; nothing was written.
        """
        return await self.transact(
            effects.StoreTransaction(
                tag='',
                compares=(effects.StoreCompare(key, revision),),
                puts=(effects.StorePut(key, new_value, lease_id),),
            ),
        )

    async def transact(self, transaction: effects.StoreTransaction) -> int:
        """Run a transaction and return the store's revision.

        Raises
        ------
        errors.ConflictError
            If a compare does not hold; nothing was written.
        errors.LeaseEndedError
            If a lease of the puts does not exist; nothing was written.
        """
        request = protocol.transaction_request(transaction)
        answer = await self._post_with_lease(const.PATH_TRANSACTION, request)
        revision = protocol.revision(answer)
        if not protocol.succeeded(answer):
            current_records = protocol.conflict_records(answer, transaction)
            raise errors.ConflictError(current_records, revision)
        return revision

    async def grant_lease(self, ttl_ms: int) -> str:
        """Create a lease and return its id; the time to live is rounded up to whole seconds."""
        lease_id, _revision = await self.grant(ttl_ms)
        return lease_id

    async def grant(self, ttl_ms: int) -> tuple[str, int]:
        """Create a lease and return its id and the store's revision."""
        ttl_s = math.ceil(ttl_ms / const.MS_PER_S)
        answer = await self._http.post(const.PATH_LEASE_GRANT, {const.ATTR_TTL: str(ttl_s)})
        lease_id = protocol.integer(protocol.member(answer, const.ATTR_LEASE_ID))
        return str(lease_id), protocol.revision(answer)

    async def renew_lease(self, lease_id: str) -> int:
        """Restart a lease's time to live and return the store's revision.

        Raises
        ------
        errors.LeaseEndedError
            If the lease has expired or was revoked.
        """
        answer = await self._post_with_lease(
            const.PATH_LEASE_KEEPALIVE,
            {const.ATTR_LEASE_ID: lease_id},
        )
        renewed = protocol.member(answer, const.ATTR_RESULT)
        if str(protocol.member(renewed, const.ATTR_LEASE_ID)) != lease_id:
            raise errors.AnswerError('answer is for another lease')
        if protocol.integer(protocol.member(renewed, const.ATTR_TTL, 0)) <= 0:
            raise errors.LeaseEndedError(lease_id)
        return protocol.revision(renewed)

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease, which deletes its records; ``LeaseEndedError`` if it does not exist."""
        await self._post_with_lease(const.PATH_LEASE_REVOKE, {const.ATTR_LEASE_ID: lease_id})

    async def _post_with_lease(self, path: str, request: http.JsonObject) -> object:
        """Post a request; a missing lease raises ``LeaseEndedError``."""
        try:
            answer: object = await self._http.post(path, request)
        except errors.RejectedError as error:
            if error.code == const.GRPC_NOT_FOUND:
                raise errors.LeaseEndedError(str(error)) from error
            raise
        return answer


class StoreClient:
    """Client that carries out the store effects of the reducer.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    base_url
        ``http://ADDRESS:PORT`` of the store.
    deliver
        Receives one ``StoreAnswered`` per call, never from within ``submit``. A watch delivers
        ``StoreChanged`` events and, if it ends without ``StoreUnwatch``, one failed
        ``StoreAnswered``; after ``StoreUnwatch`` it delivers nothing. A transaction with a lease
        that has ended writes nothing; its outcome is ``CONFLICTED`` without records. A read of one
        absent key gives a record of revision 0.
    clock_ms
        Monotonic clock of the process.
    timeout_ms
        Timeout of each call; does not limit how long a watch lasts.
    watch_silence_ms
        Timeout after which a watch without any received line fails.
    clock
        Source of the timers for timeouts; the reactor if omitted.
    """

    def __init__(
        self,
        reactor: http.Reactor,
        base_url: str,
        deliver: _Deliver,
        clock_ms: abc.Callable[[], float],
        timeout_ms: float = const.CALL_TIMEOUT_MS,
        watch_silence_ms: float = const.WATCH_SILENCE_MS,
        clock: http.Reactor | None = None,
    ) -> None:
        """Prepare the HTTP client; the first call opens a connection."""
        self._reactor = reactor
        self._deliver = deliver
        self._clock_ms = clock_ms
        self._http = http.JsonClient(reactor, base_url, timeout_ms, clock)
        self._watch_silence_ms = watch_silence_ms
        self._calls: set[defer.Deferred[events.StoreAnswered]] = set()
        self._watches: dict[str, watch.Watch] = {}
        self._closed = False
        self.calls = Store(self._http)

    def submit(self, effect: StoreEffect) -> None:
        """Start a call or a watch, or stop a watch; a new watch replaces one with the same tag."""
        match effect:
            case effects.StoreWatch():
                self._start_watch(effect)
            case effects.StoreUnwatch():
                self._stop_watch(effect.tag)
            case _:
                self._start_call(effect)

    def close(self) -> defer.Deferred[None]:
        """Cancel all calls and watches and deliver no further events."""
        self._closed = True
        for tag in tuple(self._watches):
            self._stop_watch(tag)
        for call in tuple(self._calls):
            call.cancel()
        return self._http.close()

    def _start_call(self, effect: _ReadOrLeaseCall | effects.StoreTransaction) -> None:
        sent_ms = self._clock_ms()
        call = defer.Deferred.fromCoroutine(self._run_call(effect, sent_ms))
        self._calls.add(call)
        call.addErrback(self._failed_answer, effect.tag, sent_ms)
        call.addCallback(self._deliver_later)
        call.addBoth(lambda _ended: self._calls.discard(call))

    def _deliver_later(self, event: events.Event) -> None:
        if not self._closed:
            self._reactor.callLater(0, self._deliver_now, event)

    def _deliver_now(self, event: events.Event) -> None:
        if not self._closed:
            self._deliver(event)

    async def _run_call(
        self,
        effect: _ReadOrLeaseCall | effects.StoreTransaction,
        sent_ms: float,
    ) -> events.StoreAnswered:
        make_answer = functools.partial(events.StoreAnswered, effect.tag, sent_ms=sent_ms)
        try:
            fields = await self._call(effect)
        except errors.ConflictError as conflict:
            return make_answer(
                events.StoreOutcome.CONFLICTED,
                records=conflict.records,
                revision=conflict.revision,
            )
        except errors.LeaseEndedError:
            return make_answer(events.StoreOutcome.CONFLICTED)
        return make_answer(events.StoreOutcome.SUCCEEDED, **fields)

    async def _call(self, effect: _ReadOrLeaseCall | effects.StoreTransaction) -> http.JsonObject:
        match effect:
            case effects.StoreTransaction():
                return {'revision': await self.calls.transact(effect)}
            case effects.StoreGet():
                records, revision = await self.calls.read(effect.key, prefix=effect.prefix)
                return {'records': records, 'revision': revision}
            case effects.LeaseGrant():
                lease_id, revision = await self.calls.grant(effect.ttl_ms)
                return {'lease_id': lease_id, 'revision': revision}
            case effects.LeaseRenew():
                revision = await self.calls.renew_lease(effect.lease_id)
                return {'lease_id': effect.lease_id, 'revision': revision}

    def _failed_answer(
        self, reason: failure.Failure, tag: str, sent_ms: float
    ) -> events.StoreAnswered:
        if not isinstance(reason.value, errors.PlatformError):
            loguru.logger.error(
                'event=store_call_failed tag={} error={}', tag, json.dumps(reason.getErrorMessage())
            )
        return events.StoreAnswered(tag, events.StoreOutcome.FAILED, sent_ms)

    def _start_watch(self, effect: effects.StoreWatch) -> None:
        self._stop_watch(effect.tag)
        # Changes are delivered immediately, not by timer, so that they keep their order.
        started = watch.Watch(self._http, effect, self._deliver_now, self._watch_silence_ms)
        self._watches[effect.tag] = started
        sent_ms = self._clock_ms()
        started.start().addBoth(self._on_watch_ended, started, sent_ms)

    def _stop_watch(self, tag: str) -> None:
        stopped = self._watches.pop(tag, None)
        if stopped is not None:
            stopped.stop()

    def _on_watch_ended(self, outcome: object, ended: watch.Watch, sent_ms: float) -> None:
        if self._watches.get(ended.tag) is not ended:
            return
        self._watches.pop(ended.tag)
        if isinstance(outcome, failure.Failure):
            answer = self._failed_answer(outcome, ended.tag, sent_ms)
        else:
            answer = events.StoreAnswered(ended.tag, events.StoreOutcome.FAILED, sent_ms)
        self._reactor.callLater(0, self._deliver_watch_end, answer)

    def _deliver_watch_end(self, answer: events.StoreAnswered) -> None:
        if answer.tag not in self._watches:
            self._deliver_now(answer)
