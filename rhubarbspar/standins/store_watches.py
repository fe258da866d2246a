"""Watches of the store: each sends the changes since the revision it has reached."""

import dataclasses
import typing

from rhubarbspar.storage import protocol
from rhubarbspar.standins import const
from rhubarbspar.standins import exchanges
from rhubarbspar.standins import store_model

_Json: typing.TypeAlias = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class _Watch:
    exchange: exchanges.Exchange
    keys: store_model.KeyRange
    next_revision: int
    sent_s: float


class Watches:
    """All watches of one store."""

    def __init__(self, database: store_model.Database) -> None:
        """Watch nothing."""
        self._database = database
        self._watches: list[_Watch] = []

    def create(self, exchange: exchanges.Exchange, document: typing.Any, now_s: float) -> None:
        """Start a watch; one that needs compacted changes is cancelled, as in etcd."""
        request = document.get('create_request', {})
        keys = (
            protocol.decode(request.get(const.ATTR_KEY, '')),
            protocol.decode(request.get(const.ATTR_RANGE_END, '')),
        )
        start = protocol.integer(request.get('start_revision', 0)) or self._database.revision + 1
        exchange.write_line(self._line({'created': True}))
        if start <= self._database.compacted_revision:
            compacted = str(self._database.compacted_revision)
            exchange.write_line(self._line({'canceled': True, 'compact_revision': compacted}))
            exchange.finish()
            return
        self._watches.append(_Watch(exchange, keys, start, now_s))
        self.notify(now_s)

    def notify(self, now_s: float) -> None:
        """Send pending changes, or a progress notification where nothing was sent for long."""
        self._watches = [watch for watch in self._watches if not watch.exchange.closed]
        for watch in self._watches:
            self._notify_watch(watch, now_s)

    def _notify_watch(self, watch: _Watch, now_s: float) -> None:
        changes = self._database.changes_since(watch.next_revision, watch.keys)
        watch.next_revision = max(watch.next_revision, self._database.revision + 1)
        if changes:
            listed = [_render_change(record) for record in changes]
            watch.exchange.write_line(self._line({'events': listed}))
        elif (now_s - watch.sent_s) * const.MS_PER_S >= const.STORE_PROGRESS_INTERVAL_MS:
            watch.exchange.write_line(self._line({}))
        else:
            return
        watch.sent_s = now_s

    def _line(self, members: _Json) -> _Json:
        return {const.ATTR_RESULT: {const.ATTR_HEADER: header(self._database), **members}}


def header(database: store_model.Database) -> _Json:
    """Return the header of an answer."""
    return {'cluster_id': '1', 'member_id': '1', 'revision': str(database.revision)}


def render(record: store_model.Record) -> _Json:
    """Return a record as JSON."""
    document: _Json = {
        const.ATTR_KEY: protocol.encode(record.key),
        'create_revision': str(record.create_revision),
        'mod_revision': str(record.mod_revision),
        'version': str(record.version),
        'value': protocol.encode(record.body),
    }
    if record.lease_id:
        document[const.ATTR_LEASE] = str(record.lease_id)
    return document


def _render_change(record: store_model.Record) -> _Json:
    if record.version:
        return {'kv': render(record)}
    deleted = {
        const.ATTR_KEY: protocol.encode(record.key),
        'mod_revision': str(record.mod_revision),
    }
    return {'type': 'DELETE', 'kv': deleted}
