"""Client of the platform's list of instances, which lags behind the actual state."""

import json
import types
import typing
from collections import abc

import loguru
from twisted.internet import defer
from twisted.python import failure

from rhubarbspar.core import events
from rhubarbspar.storage import const
from rhubarbspar.storage import errors
from rhubarbspar.storage import http

# Permitted states of an entry, and whether the instance is leaving.
_LEAVING_BY_STATE: typing.Final = types.MappingProxyType({'live': False, 'leaving': True})


class InstanceListClient:
    """Client that reads the list of instances.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    base_url
        ``http://ADDRESS:PORT`` of the list.
    deliver
        Receives ``InstancesListed`` after each successful read by ``refresh``.
    timeout_ms
        Timeout of each read.
    """

    def __init__(
        self,
        reactor: http.Reactor,
        base_url: str,
        deliver: abc.Callable[[events.Event], None],
        timeout_ms: float = const.CALL_TIMEOUT_MS,
    ) -> None:
        """Prepare the HTTP client; the first read opens a connection."""
        self._http = http.JsonClient(reactor, base_url, timeout_ms)
        self._deliver = deliver
        self._pending_read: defer.Deferred[None] | None = None
        self._closed = False

    def refresh(self) -> None:
        """Start a read unless one is pending; a failed read is logged and delivers nothing."""
        if self._closed or (self._pending_read is not None and not self._pending_read.called):
            return
        self._pending_read = defer.Deferred.fromCoroutine(self._refresh())
        self._pending_read.addErrback(self._log_failure)

    async def fetch(self) -> tuple[events.ListedInstance, ...]:
        """Read the list; only for coroutines that Twisted runs.

        Raises
        ------
        errors.PlatformError
            If the list is unavailable or malformed.
        """
        return parse(await self._http.get(const.PATH_INSTANCES))

    def close(self) -> defer.Deferred[None]:
        """Cancel a pending read and deliver no further events."""
        self._closed = True
        if self._pending_read is not None:
            self._pending_read.cancel()
        return self._http.close()

    async def _refresh(self) -> None:
        instances = await self.fetch()
        if not self._closed:
            self._deliver(events.InstancesListed(instances))

    def _log_failure(self, reason: failure.Failure) -> None:
        if not self._closed:
            loguru.logger.warning(
                'event=instance_list_failed error={}', json.dumps(reason.getErrorMessage())
            )


def parse(document: object) -> tuple[events.ListedInstance, ...]:
    """Decode a list of instances.

    Raises
    ------
    errors.AnswerError
        If the document is malformed.
    """
    if not isinstance(document, list):
        raise errors.AnswerError('instance list is not a JSON array')
    return tuple(_decode_instance(entry) for entry in document)


def _decode_instance(entry: typing.Any) -> events.ListedInstance:
    try:
        leaving = _LEAVING_BY_STATE[entry['state']]
    except (KeyError, TypeError) as error:
        raise errors.AnswerError('entry of the instance list has no valid state') from error
    return events.ListedInstance(
        instance_id=_require_string(entry, 'instance_id'),
        failure_domain=_require_string(entry, 'failure_domain'),
        peer_address=_require_string(entry, 'peer_address'),
        caller_address=_require_string(entry, 'caller_address'),
        leaving=leaving,
    )


def _require_string(entry: dict[str, object], name: str) -> str:
    text = entry.get(name)
    if not isinstance(text, str) or not text:
        raise errors.AnswerError(f'{name}: expected a non-empty string')
    return text
