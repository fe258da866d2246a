"""Client of the platform's lagging list of instances."""

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

_STATES: typing.Final = types.MappingProxyType({'live': False, 'leaving': True})


class InstanceListClient:
    """Reads the list of instances.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    base_url
        ``http://ADDRESS:PORT`` of the list.
    deliver
        Receives ``InstancesListed`` after each successful read by ``refresh``.
    timeout_ms
        For each read.
    """

    def __init__(
        self,
        reactor: http.Reactor,
        base_url: str,
        deliver: abc.Callable[[events.Event], None],
        timeout_ms: float = const.CALL_TIMEOUT_MS,
    ) -> None:
        """Open no connection yet."""
        self._http = http.JsonClient(reactor, base_url, timeout_ms)
        self._deliver = deliver
        self._reading: defer.Deferred[None] | None = None
        self._closed = False

    def refresh(self) -> None:
        """Start a read unless one is under way; a failed read delivers nothing."""
        if self._closed or (self._reading is not None and not self._reading.called):
            return
        self._reading = defer.Deferred.fromCoroutine(self._refresh())
        self._reading.addErrback(self._log)

    async def fetch(self) -> tuple[events.ListedInstance, ...]:
        """Read the list, for coroutines run by Twisted.

        Raises
        ------
        errors.PlatformError
            If the list is unavailable or malformed.
        """
        return parse(await self._http.get(const.PATH_INSTANCES))

    def close(self) -> defer.Deferred[None]:
        """Cancel a read under way; no event is delivered from now on."""
        self._closed = True
        if self._reading is not None:
            self._reading.cancel()
        return self._http.close()

    async def _refresh(self) -> None:
        instances = await self.fetch()
        if not self._closed:
            self._deliver(events.InstancesListed(instances))

    def _log(self, reason: failure.Failure) -> None:
        if not self._closed:
            loguru.logger.warning(
                'event=instance_list_failed error={}', json.dumps(reason.getErrorMessage())
            )


def parse(document: object) -> tuple[events.ListedInstance, ...]:
    """Read a list of instances.

    Raises
    ------
    errors.AnswerError
        If the document is malformed.
    """
    if not isinstance(document, list):
        raise errors.AnswerError('list of instances is not a list')
    return tuple(_listed_instance(entry) for entry in document)


def _listed_instance(entry: typing.Any) -> events.ListedInstance:
    try:
        leaving = _STATES[entry['state']]
    except (KeyError, TypeError) as error:
        raise errors.AnswerError('entry of the list has no valid state') from error
    return events.ListedInstance(
        instance_id=_text(entry, 'instance_id'),
        failure_domain=_text(entry, 'failure_domain'),
        peer_address=_text(entry, 'peer_address'),
        caller_address=_text(entry, 'caller_address'),
        leaving=leaving,
    )


def _text(entry: dict[str, object], name: str) -> str:
    text = entry.get(name)
    if not isinstance(text, str) or not text:
        raise errors.AnswerError(f'{name}: expected a string')
    return text
