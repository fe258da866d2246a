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
from rhubarbspar.gateway import revisions
from rhubarbspar.helpers import addresses
from rhubarbspar.helpers import durations
from rhubarbspar.http1 import bodies
from rhubarbspar.http1 import client
from rhubarbspar.http1 import descriptors
from rhubarbspar.http1 import errors as http_errors
from rhubarbspar.http1 import messages
from rhubarbspar.platform import const
from rhubarbspar.platform import errors

# The store answers in a few milliseconds. This is over three times the slowest answer of a store
# under load.
CALL_TIMEOUT_MS: typing.Final = 1500
CONNECT_TIMEOUT_MS: typing.Final = 600
IDLE_MAX_MS: typing.Final = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The decoded body of an answer, and the era of the store that gave it."""

    document: typing.Any
    era: int

    @property
    def revision(self) -> int:
        """Return the revision of the store at the answer."""
        return revisions.combine(self.era, self.document['at'])


# Value of the query parameter that permits a stale answer.
_STALE_ALLOWED: typing.Final = '1'
_NO_DOCUMENT: typing.Final = b'null'


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
    connections
        Bounds the open connections; by default there may be any number.
    """

    def __init__(
        self,
        reactor: typing.Any,
        address: str,
        clock_ms: abc.Callable[[], float],
        connections: descriptors.ConnectionLimit | None = None,
    ) -> None:
        """Prepare the connection pool; the first call opens a connection."""
        host, port = addresses.split_host_port(address)
        self._reactor = reactor
        self._host = address.encode()
        endpoint = client.Endpoint(host, port)
        self._pool = client.Pool(reactor, endpoint, clock_ms, IDLE_MAX_MS, connections=connections)
        self._calls: set[client.Call] = set()
        # Number of times that the store was restored, by its answers; 0 if it does not tell.
        self.era = 0

    async def read_all(self, prefix: str) -> tuple[tuple[events.RecordRead, ...], int]:
        """Return all records below a prefix, and the revision to watch from.

        The records come in pages and form no snapshot. Changes that the pages miss are newer than
        the returned revision, so that a watch from it delivers them.
        """
        records: list[events.RecordRead] = []
        first_revision: int | None = None
        after = ''
        while True:
            query = {'pathPrefix': prefix, 'after': after} if after else {'pathPrefix': prefix}
            answer = await self._exchange(b'GET', '/kv-range', query)
            # Records may change between pages; the watch must start at the first page's revision.
            first_revision = answer.revision if first_revision is None else first_revision
            if answer.era != revisions.era_of(first_revision):
                raise errors.RestoredError('the store was restored between two pages')
            records.extend(_decode_record(row, answer.era) for row in answer.document['items'])
            if not answer.document.get('hasMore') or not records:
                return tuple(records), first_revision
            after = records[-1].key

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
        changes = tuple(_decode_record(row, answer.era) for row in answer.document['events'])
        return changes, answer.revision

    async def read(self, key: str, *, allow_stale: bool = False) -> events.RecordRead | None:
        """Return one record, or ``None`` if its key does not exist."""
        query = {'key': key, 'allowStale': _STALE_ALLOWED} if allow_stale else {'key': key}
        try:
            answer = await self._exchange(b'GET', '/kv-key', query)
        except errors.StoreRejectedError as error:
            if error.status == const.STATUS_NOT_FOUND:
                return None
            raise
        return _decode_record(answer.document, answer.era)

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

    async def grant_lease(self, ttl_ms: float) -> int:
        """Create a lease and return its id."""
        body = {'ttl_time': durations.format_ms(ttl_ms)}
        answer = await self._exchange(b'POST', '/kv-lease', {}, body)
        lease: int = answer.document['lease']
        return lease

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

    async def _exchange(
        self,
        method: bytes,
        path: str,
        query: dict[str, str],
        body: typing.Any = None,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> _Answer:
        target = '?'.join((path, urls.urlencode(query))) if query else path
        content = b'' if body is None else json.dumps(body).encode()
        headers = ((b'host', self._host), (b'content-type', b'application/json'))
        request = messages.Request(method, target.encode(), headers, content)
        outcome = await self._send(request, timeout_ms)
        if isinstance(outcome, http_errors.HttpError):
            raise errors.StoreError(str(outcome)) from outcome
        era = self._check_era(outcome)
        if outcome.status != const.STATUS_OK:
            raise errors.StoreRejectedError(outcome.status)
        try:
            return _Answer(json.loads(bodies.join(outcome.body) or _NO_DOCUMENT), era)
        except (RecursionError, ValueError) as error:
            raise errors.StoreError('answer of the store is not JSON') from error

    def _check_era(self, response: messages.Response) -> int:
        """Return the era that an answer names; the last one if it names none."""
        raw = messages.find_header(response.headers, const.HEADER_STORE_ERA)
        if raw is None:
            return self.era
        if not raw.isdigit():
            raise errors.StoreError('the store names no valid era')
        era = int(raw)
        if era < self.era:
            raise errors.StoreError('the answer is older than the restore of the store')
        self.era = era
        return era

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


def _decode_record(row: dict[str, typing.Any], era: int) -> events.RecordRead:
    revision = revisions.combine(era, row['revision'])
    if row.get('tombstone'):
        return events.RecordRead(row['key'], revision, None)
    return events.RecordRead(row['key'], revision, base64.b64decode(row['value']))
