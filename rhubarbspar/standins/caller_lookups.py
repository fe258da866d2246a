"""Look-ups of a caller, cached for their time to live."""

import collections
import json
from collections import abc

from twisted.internet import defer

from rhubarbspar.standins import caller_http
from rhubarbspar.standins import caller_models
from rhubarbspar.standins import const
from rhubarbspar.standins import errors


class NoLookupError(errors.StandinError):
    """No entry instance answered the look-up."""


class Lookups:
    """Answers from the cache, or from the first entry instance that answers.

    Parameters
    ----------
    http_caller
        Sends the look-ups.
    settings
        Entry instances, service and access key.
    summary
        Counts look-ups.
    clock_ms
        Monotonic clock.
    """

    def __init__(
        self,
        http_caller: caller_http.HttpCaller,
        settings: caller_models.CallerSettings,
        summary: caller_models.Summary,
        clock_ms: abc.Callable[[], float],
    ) -> None:
        """Ask nothing yet."""
        self._cached: caller_models.Lookup | None = None
        self._clock_ms = clock_ms
        self._entry_urls = collections.deque(settings.entry_urls)
        self._http = http_caller
        self._settings = settings
        self._summary = summary
        self._waiters: list[defer.Deferred[caller_models.Lookup | None]] = []

    async def get(self) -> caller_models.Lookup:
        """Return a valid look-up answer; one look-up is under way at a time.

        Raises
        ------
        NoLookupError
            If no entry instance answered.
        """
        if self._cached is not None and self._clock_ms() < self._cached.expires_ms:
            return self._cached
        waiter: defer.Deferred[caller_models.Lookup | None] = defer.Deferred()
        self._waiters.append(waiter)
        if len(self._waiters) == 1:
            asking = defer.Deferred.fromCoroutine(self._ask_entries())
            asking.addCallback(self._notify_waiters)
        found = await waiter
        if found is None:
            raise NoLookupError('no entry instance answered')
        return found

    def _notify_waiters(self, found: caller_models.Lookup | None) -> None:
        waiters = self._waiters
        self._waiters = []
        for waiter in waiters:
            waiter.callback(found)

    async def _ask_entries(self) -> caller_models.Lookup | None:
        remaining = len(self._entry_urls)
        while remaining:
            remaining -= 1
            self._summary.lookups += 1
            try:
                self._cached = await self._ask(self._entry_urls[0])
            except errors.StandinError:
                self._summary.lookups_failed += 1
                self._entry_urls.rotate(-1)
            else:
                return self._cached
        return None

    async def _ask(self, entry_url: str) -> caller_models.Lookup:
        sent_ms = self._clock_ms()
        answer = await self._http.send(
            const.METHOD_GET,
            entry_url + const.PATH_LOOKUP + self._settings.service,
            authorization(self._settings),
            b'',
            const.LOOKUP_TIMEOUT_MS,
        )
        if answer.status != const.HTTP_OK:
            raise NoLookupError(f'status {answer.status}')
        return _parse(answer.body, sent_ms)


def authorization(settings: caller_models.CallerSettings) -> dict[str, str]:
    """Return the header that carries the access key, if there is one."""
    if not settings.access_key:
        return {}
    return {const.HEADER_AUTHORIZATION: f'Bearer {settings.access_key}'}


def _parse(body: bytes, sent_ms: float) -> caller_models.Lookup:
    try:
        return _structure(json.loads(body), sent_ms)
    except (KeyError, TypeError, ValueError) as error:
        raise NoLookupError('malformed answer') from error


def _structure(document: dict[str, object], sent_ms: float) -> caller_models.Lookup:
    listed = document['instances']
    ttl_ms = document['ttl_ms']
    if not isinstance(listed, list) or not listed or not isinstance(ttl_ms, int | float):
        raise NoLookupError('answer has no instances')
    instances = [
        caller_models.Instance(entry['instance_id'], entry['url'].rstrip('/')) for entry in listed
    ]
    prefix = document['idempotency_key_prefix']
    if prefix is None:
        raise NoLookupError('the answering instance is stopping')
    return caller_models.Lookup(tuple(instances), str(prefix), sent_ms + ttl_ms)
