"""HTTP client of the platform's key-value store."""

import base64
import dataclasses
import json
import typing
from collections import abc
from urllib import parse as urls

from twisted.internet import defer

from rhubarbspar import const as package_const
from rhubarbspar.gateway import events
from rhubarbspar.gateway.limits import memory_limits
from rhubarbspar.gateway.store import record_table
from rhubarbspar.gateway.store import revisions
from rhubarbspar.helpers import addresses
from rhubarbspar.helpers import durations
from rhubarbspar.http1 import bodies
from rhubarbspar.http1 import client
from rhubarbspar.http1 import descriptors
from rhubarbspar.http1 import errors as http_errors
from rhubarbspar.http1 import memory
from rhubarbspar.http1 import messages
from rhubarbspar.platform import answers
from rhubarbspar.platform import const
from rhubarbspar.platform import errors

# The store answers in a few milliseconds. This is over three times the slowest answer of a store
# under load.
CALL_TIMEOUT_MS: typing.Final = 1500
CONNECT_TIMEOUT_MS: typing.Final = 600
IDLE_MAX_MS: typing.Final = 20_000


# Value of the query parameter that permits a stale answer.
_STALE_ALLOWED: typing.Final = '1'


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Revision that a key must have; 0 if it must not exist."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A record to write."""

    key: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    """Some of the records below a prefix, and the revision to watch from."""

    records: tuple[events.RecordRead, ...]
    revision: int


class Store:
    """Awaitable calls to the store; all raise ``StoreError`` if they fail.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    address
        ``host:port`` of the store.
    clock_ms
        Monotonic clock of the process.
    limits
        What the store may answer.
    budget
        The budget of the process; the answers draw on a part of it, so that they do not wait for
        other messages.
    connections
        Bounds the open connections; by default there may be any number.
    """

    def __init__(
        self,
        reactor: typing.Any,
        address: str,
        clock_ms: abc.Callable[[], float],
        limits: memory_limits.StoreLimits,
        budget: memory.MemoryBudget,
        connections: descriptors.ConnectionLimit | None = None,
    ) -> None:
        """Prepare the connection pool; the first call opens a connection."""
        host, port = addresses.split_host_port(address)
        self._reactor = reactor
        self._host = address.encode()
        endpoint = client.Endpoint(host, port)
        self._limits = limits
        part = budget.part(limits.answer_max_bytes)
        self._pool = client.Pool(reactor, endpoint, clock_ms, IDLE_MAX_MS, part, connections)
        self._calls: set[client.Call] = set()
        # Number of times that the store was restored, by its answers; 0 if it does not tell.
        self.era = 0

    async def read_all(self, prefix: str) -> tuple[tuple[events.RecordRead, ...], int]:
        """Return all records below a prefix, and the revision to watch from.

        The records come in pages and form no snapshot. Changes that the pages miss are newer than
        the returned revision, so that a watch from it delivers them.

        Raises
        ------
        errors.TooLargeError
            If the records are larger than the limits permit.
        errors.MalformedAnswerError
            If a page repeats the end of an earlier one, or is empty and not the last.
        """
        records: list[events.RecordRead] = []
        size_bytes = 0
        first_revision: int | None = None
        async for page in self._pages(prefix):
            first_revision = page.revision if first_revision is None else first_revision
            records.extend(page.records)
            size_bytes += sum(record.size_bytes for record in page.records)
            self._check_size(size_bytes)
        return tuple(records), first_revision or 0

    async def read_fitting(self, prefix: str) -> events.StoreSnapshot:
        """Return the records below a prefix for which there is room, as ``read_all`` does.

        The snapshot names those that were left out.

        Raises
        ------
        errors.MalformedAnswerError
            If a page repeats the end of an earlier one, or is empty and not the last.
        """
        table = record_table.RecordTable(self._limits.records_max_bytes)
        first_revision: int | None = None
        async for page in self._pages(prefix):
            first_revision = page.revision if first_revision is None else first_revision
            for record in page.records:
                table.offer(record)
        return events.StoreSnapshot(
            tuple(table.existing()), first_revision or 0, tuple(table.missing)
        )

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[tuple[events.RecordRead, ...], int]:
        """Wait up to ``wait_ms`` for changes after a revision (long polling).

        Returns the changes and the revision to continue from.

        Raises
        ------
        errors.CompactedError
            If the store has compacted these changes, or was restored since the revision.
        """
        number = revisions.number_in_era(after)
        query = {'pathPrefix': prefix, 'after': str(number), 'waitMs': str(wait_ms)}
        timeout_ms = wait_ms + CALL_TIMEOUT_MS / 2
        try:
            answer = await self._exchange(b'GET', '/kv-watch', query, timeout_ms=timeout_ms)
        except errors.StoreRejectedError as error:
            if error.status == const.STATUS_COMPACTED:
                raise errors.CompactedError(str(error)) from error
            raise
        if answer.era != revisions.era_of(after):
            raise errors.RestoredError('the store was restored since the last change')
        return answer.records('events'), answer.revision

    async def read(self, key: str, *, allow_stale: bool = False) -> events.RecordRead | None:
        """Return one record, or ``None`` if its key does not exist."""
        query = {'key': key, 'allowStale': _STALE_ALLOWED} if allow_stale else {'key': key}
        try:
            answer = await self._exchange(b'GET', '/kv-key', query)
        except errors.StoreRejectedError as error:
            if error.status == const.STATUS_NOT_FOUND:
                return None
            raise
        return answer.record()

    async def put_if(self, key: str, content: bytes, revision: int | None, lease: int = 0) -> bool:
        """Write a record if its key has the given revision; return whether it was written.

        Parameters
        ----------
        revision
            0 if the key must not exist, ``None`` to write in any case.
        lease
            Lease with whose end the record is deleted, 0 for none.
        """
        put = {'key': key, 'value': base64.b64encode(content).decode(), 'lease': lease}
        if revision and revisions.era_of(revision) != self.era:
            # Numbers of an earlier era may have been given out again.
            return False
        conditions = []
        if revision is not None:
            conditions.append({'key': key, 'revision': revisions.number_in_era(revision)})
        body = {'expectedRevision': conditions, 'puts': [put], 'deleteKeys': []}
        try:
            await self._exchange(b'POST', '/kv-txn', {}, body)
        except errors.StoreRejectedError as error:
            if error.status == const.STATUS_CONFLICT:
                return False
            raise
        return True

    async def transact(
        self,
        conditions: tuple[Condition, ...],
        puts: tuple[Put, ...],
        deleted_keys: tuple[str, ...] = (),
    ) -> int | None:
        """Write and delete records if all conditions hold.

        Returns
        -------
        int or None
            Revision of the store after the write; ``None`` if a condition does not hold.

        Raises
        ------
        errors.RestoredError
            If the store was restored since the last call, so that numbers of revisions may have
            been given out again.
        """
        era = self.era
        if any(each.revision and revisions.era_of(each.revision) != era for each in conditions):
            return None
        body = {
            'expectedRevision': [
                {'key': each.key, 'revision': revisions.number_in_era(each.revision)}
                for each in conditions
            ],
            'puts': [
                {'key': put.key, 'value': base64.b64encode(put.content).decode(), 'lease': 0}
                for put in puts
            ],
            'deleteKeys': list(deleted_keys),
        }
        try:
            answer = await self._exchange(b'POST', '/kv-txn', {}, body)
        except errors.StoreRejectedError as error:
            if error.status == const.STATUS_CONFLICT:
                return None
            raise
        if era and answer.era != era:
            raise errors.RestoredError('the store was restored since the last call')
        return answer.written_revision

    async def grant_lease(self, ttl_ms: float) -> int:
        """Create a lease and return its id."""
        body = {'ttl_time': durations.format_ms(ttl_ms)}
        answer = await self._exchange(b'POST', '/kv-lease', {}, body)
        return answer.lease()

    async def renew_lease(self, lease: int) -> bool:
        """Restart a lease's time to live; return false if the lease no longer exists."""
        try:
            await self._exchange(b'POST', f'/kv-keep/{lease}', {})
        except errors.StoreRejectedError as error:
            if error.status == const.STATUS_NOT_FOUND:
                return False
            raise
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its records."""
        await self._exchange(b'DELETE', f'/kv-lease-end/{lease}', {})

    def reset(self) -> None:
        """Close all connections and fail the pending calls."""
        self._pool.close()
        for call in tuple(self._calls):
            call.abort(http_errors.BrokenError('connection to the store was reset'))

    async def _pages(self, prefix: str) -> abc.AsyncIterator['_Page']:
        """Yield the pages of the records below a prefix, with the revision of the first one."""
        seen: set[str] = set()
        first_revision: int | None = None
        after = ''
        while True:
            query = {'pathPrefix': prefix, 'after': after} if after else {'pathPrefix': prefix}
            answer = await self._exchange(b'GET', '/kv-range', query)
            # Records may change between pages; the watch must start at the first page's revision.
            first_revision = answer.revision if first_revision is None else first_revision
            if answer.era != revisions.era_of(first_revision):
                raise errors.RestoredError('the store was restored between two pages')
            page = answer.records('items')
            yield _Page(page, first_revision)
            if not answer.has_more:
                return
            after = _end_of_page(page, seen)
            seen.add(after)

    async def _exchange(
        self,
        method: bytes,
        path: str,
        query: dict[str, str],
        body: typing.Any = None,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> answers.Answer:
        target = '?'.join((path, urls.urlencode(query))) if query else path
        content = b'' if body is None else json.dumps(body).encode()
        headers = ((b'host', self._host), (b'content-type', b'application/json'))
        request = messages.Request(method, target.encode(), headers, content)
        outcome = await self._send(request, timeout_ms)
        match outcome:
            case http_errors.TooLargeError():
                limit_bytes = self._limits.answer_max_bytes
                raise errors.TooLargeError(
                    f'the answer is larger than {limit_bytes} bytes'
                ) from outcome
            case http_errors.HttpError():
                raise errors.StoreError(str(outcome)) from outcome
        self.era = answers.decode_era(outcome.headers, self.era)
        if outcome.status != const.STATUS_OK:
            raise errors.StoreRejectedError(outcome.status)
        return answers.decode(bodies.join(outcome.body), self.era, self._limits.elements_max)

    def _check_size(self, records_bytes: int) -> None:
        """Raise an error if the records that were read exceed their limit."""
        limit_bytes = self._limits.records_max_bytes
        if records_bytes > limit_bytes:
            raise errors.TooLargeError(f'the records take more than {limit_bytes} bytes')

    async def _send(self, request: messages.Request, timeout_ms: float) -> client.Outcome:
        finished: defer.Deferred[client.Outcome] = defer.Deferred()
        call = client.Call(request, finished.callback)
        self._calls.add(call)
        self._pool.start(call, CONNECT_TIMEOUT_MS)
        timer = self._reactor.callLater(
            timeout_ms / package_const.MS_PER_S, self._abort_timed_out, call
        )
        outcome = await finished
        self._calls.discard(call)
        if timer.active():
            timer.cancel()
        return outcome

    def _abort_timed_out(self, call: client.Call) -> None:
        # Other idle connections may have stopped carrying traffic as well.
        self._pool.close()
        call.abort(http_errors.BrokenError('store did not answer in time'))


def _end_of_page(page: tuple[events.RecordRead, ...], seen: abc.Set[str]) -> str:
    """Return the last key of a page that has another one behind it; it must be a new one."""
    if not page or page[-1].key in seen:
        raise errors.MalformedAnswerError('the pages of the store do not advance')
    return page[-1].key
