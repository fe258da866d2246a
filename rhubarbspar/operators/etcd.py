"""Store client for the JSON gateway of etcd's v3 API."""

import json
import typing

from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.operators import errors
from rhubarbspar.operators import http
from rhubarbspar.operators import store
from rhubarbspar.storage import const as storage_const
from rhubarbspar.storage import errors as storage_errors
from rhubarbspar.storage import protocol

_STATUS_OK: typing.Final = 200
_STATUS_SERVER_ERROR: typing.Final = 500


class EtcdStore:
    """A client of the store at one URL; implements ``store.Store``."""

    def __init__(self, url: str) -> None:
        """Take the base URL; each call opens its own connection."""
        self._url = url.rstrip('/')

    def get(self, key: str) -> events.StoreRecord:
        """Read one record; its revision is 0 if the key is absent."""
        return self._read(key, prefix=False)[0]

    def list_prefix(self, prefix: str) -> tuple[events.StoreRecord, ...]:
        """Read all records whose key starts with a prefix, sorted by key."""
        return tuple(sorted(self._read(prefix, prefix=True), key=_record_key))

    def transact(self, transaction: store.Transaction) -> store.TransactionResult:
        """Write the records of a transaction if all its comparisons hold."""
        request = protocol.transaction_request(
            effects.StoreTransaction('', transaction.compares, transaction.puts),
        )
        response = self._call(storage_const.PATH_TRANSACTION, request)
        try:
            return store.TransactionResult(
                protocol.succeeded(response), protocol.revision(response)
            )
        except storage_errors.AnswerError as error:
            raise _malformed(error) from error

    def grant_lease(self, ttl_s: int) -> str:
        """Grant a lease with a time to live in seconds and return its id."""
        response = self._call(storage_const.PATH_LEASE_GRANT, {'TTL': str(ttl_s)})
        try:
            return str(protocol.integer(protocol.member(response, storage_const.ATTR_LEASE_ID)))
        except storage_errors.AnswerError as error:
            raise _malformed(error) from error

    def _read(self, key: str, *, prefix: bool) -> tuple[events.StoreRecord, ...]:
        request = protocol.range_request(key, prefix=prefix)
        response = self._call(storage_const.PATH_RANGE, request)
        try:
            return protocol.range_records(response, key, prefix=prefix)
        except storage_errors.AnswerError as error:
            raise _malformed(error) from error

    def _call(self, path: str, request: dict[str, typing.Any]) -> object:
        headers = {'Content-Type': 'application/json'}
        body = json.dumps(request).encode()
        try:
            response = http.call('POST', f'{self._url}{path}', body, headers)
        except http.NotSentError as error:
            raise errors.StoreUnavailableError(f'store is unreachable: {error}') from error
        except http.ResponseLostError as lost:
            raise errors.StoreAnswerLostError(f'store did not answer: {lost}') from lost
        return _decode(response)


def _decode(response: http.Response) -> object:
    # The gateway may return 5xx after losing its etcd connection although the write took effect.
    if response.status >= _STATUS_SERVER_ERROR:
        raise errors.StoreAnswerLostError(f'store answered with status {response.status}')
    if response.status != _STATUS_OK:
        raise errors.StoreProtocolError(f'store refused the call with status {response.status}')
    try:
        decoded: object = json.loads(response.body)
    except ValueError as error:
        raise errors.StoreAnswerLostError('answer of the store is not JSON') from error
    return decoded


def _malformed(error: storage_errors.AnswerError) -> errors.StoreAnswerLostError:
    return errors.StoreAnswerLostError(f'answer of the store is malformed: {error}')


def _record_key(record: events.StoreRecord) -> str:
    return record.key
