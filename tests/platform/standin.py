"""In-memory stand-in for the platform's key-value store, for the tests of the adapter."""

import base64
import copy
import dataclasses
import json
from urllib import parse as urls

from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server
from rhubarbspar.standins import errors
from rhubarbspar.standins import store_model

EVERYTHING = (b'\x00', store_model.NO_END)
PAGE_ITEMS = 3


@dataclasses.dataclass
class _Watch:
    exchange: server.Exchange
    after: int


class Store:
    """HTTP server of an in-memory store.

    Attributes
    ----------
    silent
        Requests are ignored: neither carried out nor answered.
    status
        Status of every answer, without carrying out the request; ``None`` for normal operation.
    body, headers
        Body and headers of every answer, without carrying out the request; ``None`` for normal
        operation.
    lose_answers
        Calls other than watches are carried out but not answered.
    page_items
        Number of items of a page.
    era
        Named in all answers; rises with each restore.
    """

    def __init__(self, reactor):
        """Listen on a free port with an empty database."""
        self.database = store_model.Database()
        self.silent = False
        self.status = None
        self.body = None
        self.headers = ()
        self.lose_answers = False
        self.era = 1
        self.page_items = PAGE_ITEMS
        self._reactor = reactor
        self._watches = []
        limits = server.Limits(16_384, 1_048_576, 3000, 15_000)
        site = server.Site(self._receive, lambda: limits, lambda: 0.0)
        self._listener = reactor.listenTCP(0, site, interface='127.0.0.1')
        self.address = f'127.0.0.1:{self._listener.getHost().port}'
        self._site = site

    def close(self):
        """Abort the open connections and stop listening."""
        for channel in tuple(self._site.channels):
            channel.transport.abortConnection()
        return self._listener.stopListening()

    def put(self, key, content):
        """Write a record without a lease, as an operator or a backend server would."""
        self._write([store_model.Put(key.encode(), content, 0)])

    def delete(self, key):
        """Delete a record, which leaves a tombstone for watches."""
        self._write([store_model.Delete((key.encode(), b''))])

    def copy(self):
        """Return a copy of all records and leases, for a later restore."""
        return copy.deepcopy(self.database)

    def restore(self, database):
        """Replace all records and leases by a copy; waiting watches are cut."""
        self.database = copy.deepcopy(database)
        self.era += 1
        self._watches = []
        for channel in tuple(self._site.channels):
            channel.transport.abortConnection()

    def _write(self, operations):
        self.database.write(operations, self._reactor.seconds())
        waiting = self._watches
        self._watches = []
        for watch in waiting:
            self._answer_watch(watch)

    def _receive(self, exchange):
        if self.silent:
            return
        if self.status is not None:
            self._respond(exchange, messages.Response(self.status))
            return
        if self.body is not None:
            exchange.respond(messages.Response(200, self.headers, self.body))
            return
        parts = urls.urlsplit(exchange.request.target.decode())
        query = {name: found[0] for name, found in urls.parse_qs(parts.query).items()}
        body = json.loads(exchange.request.body or b'null')
        if parts.path == '/kv-watch':
            watch = _Watch(exchange, int(query['after']))
            self._answer_watch(watch)
            self._reactor.callLater(int(query['waitMs']) / 1000, self._end_watch, watch)
            return
        answer = self._call(parts.path, query, body)
        if not self.lose_answers:
            self._respond(exchange, answer)

    def _call(self, path, query, body):
        now_s = self._reactor.seconds()
        match path.split('/')[1:]:
            case ['kv-key']:
                found = self.database.read((query['key'].encode(), b''))
                return self._json(self._item(found[0])) if found else _status(404)
            case ['kv-range']:
                return self._range(query)
            case ['kv-txn']:
                return self._transact(body)
            case ['kv-lease']:
                lease = self.database.grant(int(body['ttl_time'][:-2]) / 1000, now_s)
                return self._json({'lease': lease.lease_id, 'ttl_time': body['ttl_time']})
            case ['kv-keep', lease_id]:
                renewed = self.database.renew(int(lease_id), now_s)
                return _status(404) if renewed is None else self._json({})
            case ['kv-lease-end', lease_id]:
                self.database.revoke(int(lease_id))
                return _status(200)
        return _status(400)

    def _range(self, query):
        start = query.get('after', '')
        found = [
            record
            for record in self.database.read(EVERYTHING)
            if record.key.decode() > start
            and record.key.decode().startswith(query.get('pathPrefix', ''))
        ]
        items = [self._item(record) for record in found[: self.page_items]]
        return self._json({'items': items, 'hasMore': len(found) > self.page_items})

    def _transact(self, body):
        for condition in body['expectedRevision']:
            if self.database.mod_revision(condition['key'].encode()) != condition['revision']:
                return _status(412)
        puts = [
            store_model.Put(put['key'].encode(), base64.b64decode(put['value']), put['lease'])
            for put in body['puts']
        ]
        deletes = [store_model.Delete((key.encode(), b'')) for key in body['deleteKeys']]
        try:
            self._write([*puts, *deletes])
        except errors.StoreCallError:
            return _status(404)
        # This answer names the revision of the write, and not that of the store.
        content = json.dumps({'revision': self.database.revision}).encode()
        return messages.Response(200, (), content)

    def _answer_watch(self, watch):
        is_unknown = watch.after > self.database.revision
        if is_unknown or watch.after < self.database.compacted_revision:
            self._respond(watch.exchange, _status(410))
            return
        changes = self.database.changes_since(watch.after + 1, EVERYTHING)
        if changes:
            events = [self._item(record) for record in changes]
            self._respond(watch.exchange, self._json({'events': events}))
        else:
            self._watches.append(watch)

    def _end_watch(self, watch):
        if watch in self._watches:
            self._watches.remove(watch)
            self._respond(watch.exchange, self._json({'events': []}))

    def _respond(self, exchange, response):
        era = (b'store-era', b'%d' % self.era)
        headers = (*response.headers, era)
        exchange.respond(messages.Response(response.status, headers, response.body))

    def _item(self, record):
        if not record.version:
            return {
                'key': record.key.decode(),
                'revision': record.mod_revision,
                'tombstone': True,
            }
        return {
            'key': record.key.decode(),
            'value': base64.b64encode(record.body).decode(),
            'revision': record.mod_revision,
            'createRevision': record.create_revision,
            'lease': record.lease_id,
        }

    def _json(self, document):
        content = json.dumps({**document, 'at': self.database.revision}).encode()
        return messages.Response(200, (), content)


def _status(status):
    return messages.Response(status)
