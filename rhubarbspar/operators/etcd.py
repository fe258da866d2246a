"""The store over etcd's v3 JSON gateway protocol."""

import json
import typing

from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.operators import errors
from rhubarbspar.operators import http
from rhubarbspar.operators import store
from rhubarbspar.storage import const as platform_const
from rhubarbspar.storage import errors as platform_errors
from rhubarbspar.storage import protocol

_STATUS_OK: typing.Final = 200
_STATUS_SERVER_ERROR: typing.Final = 500


class EtcdStore:
    """A store reached at one URL; implements ``store.Store``."""

    def __init__(self, url: str) -> None:
        """Keep the URL; connections are opened for each call."""
        self._url = url.rstrip('/')

    def get(self, key: str) -> events.StoreRecord:
        """Read one record."""
        return self._read(key, prefix=False)[0]

    def list_prefix(self, prefix: str) -> tuple[events.StoreRecord, ...]:
        """Read all records with a prefix."""
        return tuple(sorted(self._read(prefix, prefix=True), key=_record_key))

    def transact(self, transaction: store.Transaction) -> store.Transacted:
        """Run a transaction."""
        request = protocol.transaction_request(
            effects.StoreTransaction('', transaction.compares, transaction.puts),
        )
        answer = self._call(platform_const.PATH_TRANSACTION, request)
        try:
            return store.Transacted(protocol.succeeded(answer), protocol.revision(answer))
        except platform_errors.AnswerError as error:
            raise _malformed(error) from error

    def grant_lease(self, ttl_s: int) -> str:
        """Return a new lease."""
        answer = self._call(platform_const.PATH_LEASE_GRANT, {'TTL': str(ttl_s)})
        try:
            return str(protocol.integer(protocol.member(answer, platform_const.ATTR_LEASE_ID)))
        except platform_errors.AnswerError as error:
            raise _malformed(error) from error

    def _read(self, key: str, *, prefix: bool) -> tuple[events.StoreRecord, ...]:
        request = protocol.range_request(key, prefix=prefix)
        answer = self._call(platform_const.PATH_RANGE, request)
        try:
            return protocol.range_records(answer, key, prefix=prefix)
        except platform_errors.AnswerError as error:
            raise _malformed(error) from error

    def _call(self, path: str, request: dict[str, typing.Any]) -> object:
        headers = {'Content-Type': 'application/json'}
        body = json.dumps(request).encode()
        try:
            answer = http.call('POST', f'{self._url}{path}', body, headers)
        except http.NotSentError as error:
            raise errors.StoreUnavailableError(f'store is unreachable: {error}') from error
        except http.AnswerLostError as lost:
            raise errors.StoreAnswerLostError(f'store did not answer: {lost}') from lost
        return _decode(answer)


def _decode(answer: http.Answer) -> object:
    # A gateway that lost its backend answers 5xx after the write may have taken effect.
    if answer.status >= _STATUS_SERVER_ERROR:
        raise errors.StoreAnswerLostError(f'store answered with status {answer.status}')
    if answer.status != _STATUS_OK:
        raise errors.StoreProtocolError(f'store refused the call with status {answer.status}')
    try:
        decoded: object = json.loads(answer.body)
    except ValueError as error:
        raise errors.StoreAnswerLostError('answer of the store is not JSON') from error
    return decoded


def _malformed(error: platform_errors.AnswerError) -> errors.StoreAnswerLostError:
    return errors.StoreAnswerLostError(f'answer of the store is malformed: {error}')


def _record_key(record: events.StoreRecord) -> str:
    return record.key
