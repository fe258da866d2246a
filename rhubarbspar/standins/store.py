"""Stand-in for the key-value store: a part of the etcd v3 JSON gateway protocol."""

import collections
import typing

from rhubarbspar.storage import errors as platform_errors
from rhubarbspar.storage import protocol
from rhubarbspar.standins import const
from rhubarbspar.standins import errors
from rhubarbspar.standins import exchanges
from rhubarbspar.standins import process
from rhubarbspar.standins import store_model
from rhubarbspar.standins import store_watches
from rhubarbspar.standins import web

_Json: typing.TypeAlias = dict[str, typing.Any]

_MALFORMED = (
    AttributeError,
    KeyError,
    TypeError,
    errors.ControlError,
    platform_errors.AnswerError,
)


class Store:
    """A store with its HTTP service.

    Control endpoints: ``POST /control/faults``; ``GET /control/calls`` answers the number of calls
    by path; ``GET /control/dump`` answers all records.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    database
        The records; a new database if omitted.
    clock
        Its time governs leases and progress notifications; the reactor if omitted.
    extends_leases
        Leases stand still while the store is down and start anew at its return, as after an election
        in etcd; otherwise they run on.
    """

    def __init__(
        self,
        reactor: web.Reactor,
        database: store_model.Database | None = None,
        clock: web.Reactor | None = None,
        *,
        extends_leases: bool = False,
    ) -> None:
        """Listen nowhere yet."""
        self.calls: collections.Counter[str] = collections.Counter()
        self.database = database or store_model.Database()
        self.service = web.Service(reactor, self._receive, self._control, self._notify, clock)
        self._clock = clock or reactor
        self._extends_leases = extends_leases
        self._watches = store_watches.Watches(self.database)
        self._timer: typing.Any = None
        self._methods = {
            '/v3/kv/range': self._range,
            '/v3/kv/txn': self._transaction,
            '/v3/lease/grant': self._grant,
            '/v3/lease/keepalive': self._keepalive,
            '/v3/lease/revoke': self._revoke,
        }

    def start(self, port: int = 0) -> int:
        """Listen and return the port."""
        self._tick()
        return self.service.listen(port)

    def close(self) -> typing.Any:
        """Stop listening and end all watches."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        return self.service.close()

    def _tick(self) -> None:
        interval_s = const.STORE_TICK_INTERVAL_MS / const.MS_PER_S
        self._timer = self._clock.callLater(interval_s, self._tick)
        if self.service.faults.down and self._extends_leases:
            self.database.extend_leases(self._clock.seconds())
        self.database.expire(self._clock.seconds())
        self._notify()

    def _notify(self) -> None:
        faults = self.service.faults
        if not (faults.down or faults.freeze):
            self._watches.notify(self._clock.seconds())

    def _receive(self, exchange: exchanges.Exchange) -> None:
        self.calls[exchange.path] += 1
        try:
            self._call(exchange)
        except errors.StoreCallError as error:
            refusal = {'code': error.code, 'message': str(error)}
            exchange.answer_json(refusal, error.status)
        except _MALFORMED as error:
            refusal = {'code': const.GRPC_INVALID_ARGUMENT, 'message': str(error)}
            exchange.answer_json(refusal, const.HTTP_BAD_REQUEST)

    def _call(self, exchange: exchanges.Exchange) -> None:
        document = exchange.document()
        self.database.expire(self._clock.seconds())
        if exchange.path == const.PATH_WATCH:
            self._watches.create(exchange, document, self._clock.seconds())
            return
        method = self._methods.get(exchange.path)
        if method is None:
            raise errors.StoreCallError(const.HTTP_NOT_FOUND, const.GRPC_UNIMPLEMENTED, 'Not Found')
        answer = method(document)
        self._notify()
        if self.service.faults.lose_answers and exchange.path != const.PATH_RANGE:
            exchange.abort()
        else:
            exchange.answer_json(answer)

    def _control(self, exchange: exchanges.Exchange) -> None:
        match exchange.path:
            case '/control/calls':
                exchange.answer_json(self.calls)
            case '/control/dump':
                listed = self.database.read((b'', store_model.NO_END))
                exchange.answer_json([store_watches.render(record) for record in listed])
            case _:
                exchange.answer_json({}, const.HTTP_NOT_FOUND)

    def _header(self) -> _Json:
        return store_watches.header(self.database)

    def _range(self, document: _Json) -> _Json:
        listed = self.database.read(key_range(document))
        answer: _Json = {const.ATTR_HEADER: self._header()}
        if listed:
            answer['kvs'] = [store_watches.render(record) for record in listed]
            answer['count'] = str(len(listed))
        return answer

    def _transaction(self, document: _Json) -> _Json:
        for branch in ('compare', 'success', 'failure'):
            if len(document.get(branch, ())) > const.STORE_OPERATIONS_MAX:
                raise _invalid('etcdserver: too many operations in txn request')
        holds = all(self._holds(compare) for compare in document.get('compare', ()))
        requests = document.get('success' if holds else 'failure', ())
        operations = [_operation(request) for request in requests if 'request_range' not in request]
        _check_distinct(operations)
        self.database.write(operations, self._clock.seconds())
        answer: _Json = {
            const.ATTR_HEADER: self._header(),
            'responses': [self._response(request) for request in requests],
        }
        return {**answer, 'succeeded': True} if holds else answer

    def _holds(self, compare: _Json) -> bool:
        if compare.get('target') != 'MOD' or compare.get('result', 'EQUAL') != 'EQUAL':
            raise _invalid('only comparisons of mod_revision for equality are supported')
        expected = protocol.integer(compare.get('mod_revision', 0))
        return self.database.mod_revision(protocol.decode(compare[const.ATTR_KEY])) == expected

    def _response(self, request: _Json) -> _Json:
        read = request.get('request_range')
        if read is not None:
            return {'response_range': self._range(read)}
        name = 'response_put' if 'request_put' in request else 'response_delete_range'
        return {name: {const.ATTR_HEADER: self._header()}}

    def _grant(self, document: _Json) -> _Json:
        ttl_s = protocol.integer(document.get(const.ATTR_TTL, 0))
        if ttl_s <= 0:
            raise _invalid('etcdserver: lease TTL has to be positive')
        lease = self.database.grant(ttl_s, self._clock.seconds())
        return self._lease_answer(lease.lease_id, lease.ttl_s)

    def _keepalive(self, document: _Json) -> _Json:
        lease_id = protocol.integer(document.get(const.ATTR_LEASE_ID, 0))
        lease = self.database.renew(lease_id, self._clock.seconds())
        ttl_s = 0 if lease is None else lease.ttl_s
        return {const.ATTR_RESULT: self._lease_answer(lease_id, ttl_s)}

    def _revoke(self, document: _Json) -> _Json:
        self.database.revoke(protocol.integer(document.get(const.ATTR_LEASE_ID, 0)))
        return {const.ATTR_HEADER: self._header()}

    def _lease_answer(self, lease_id: int, ttl_s: int) -> _Json:
        answer: _Json = {const.ATTR_HEADER: self._header(), const.ATTR_LEASE_ID: str(lease_id)}
        if ttl_s:
            answer[const.ATTR_TTL] = str(ttl_s)
        return answer


def key_range(document: _Json) -> store_model.KeyRange:
    """Return the range of a request."""
    key = protocol.decode(document.get(const.ATTR_KEY, ''))
    return key, protocol.decode(document.get(const.ATTR_RANGE_END, ''))


def _operation(request: _Json) -> store_model.Put | store_model.Delete:
    deleted = request.get('request_delete_range')
    if deleted is not None:
        return store_model.Delete(key_range(deleted))
    put = request.get('request_put')
    if put is None:
        raise _invalid('only put, range and delete_range are supported in transactions')
    body = protocol.decode(put.get('value', ''))
    if len(body) > const.STORE_VALUE_MAX_BYTES:
        raise _invalid('etcdserver: request is too large')
    lease_id = protocol.integer(put.get(const.ATTR_LEASE, 0))
    return store_model.Put(protocol.decode(put[const.ATTR_KEY]), body, lease_id)


def _check_distinct(operations: list[store_model.Put | store_model.Delete]) -> None:
    puts = [put.key for put in operations if isinstance(put, store_model.Put)]
    deletes = [delete.keys for delete in operations if isinstance(delete, store_model.Delete)]
    deleted = any(store_model.contains(keys, key) for keys in deletes for key in puts)
    if deleted or len(set(puts)) < len(puts):
        raise _invalid('etcdserver: duplicate key given in txn request')


def _invalid(message: str) -> errors.StoreCallError:
    return errors.StoreCallError(const.HTTP_BAD_REQUEST, const.GRPC_INVALID_ARGUMENT, message)


def main() -> None:
    """Run a store as a process."""
    parser = process.parser('store')
    parser.add_argument('--extends-leases', action='store_true')
    arguments = parser.parse_args()
    process.run(
        lambda reactor: Store(reactor, extends_leases=arguments.extends_leases).start(
            arguments.port,
        ),
    )


if __name__ == '__main__':
    main()
