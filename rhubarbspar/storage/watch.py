"""One watch: a stream of JSON lines from the store."""

from collections import abc

from twisted.internet import defer
from twisted.python import failure

from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.storage import bodies
from rhubarbspar.storage import const
from rhubarbspar.storage import http
from rhubarbspar.storage import protocol


class Watch:
    """Delivers ``StoreChanged`` until the stream ends.

    Parameters
    ----------
    http_client
        Client of the store's address.
    effect
        What to watch.
    deliver
        Receives the changes.
    silence_ms
        The stream fails if nothing arrives for this long.
    """

    def __init__(
        self,
        http_client: http.JsonClient,
        effect: effects.StoreWatch,
        deliver: abc.Callable[[events.Event], None],
        silence_ms: float,
    ) -> None:
        """Send nothing yet."""
        self.tag = effect.tag
        self._http = http_client
        self._effect = effect
        self._deliver = deliver
        self._silence_ms = silence_ms
        self._lines = bodies.LineReceiver(self._receive, const.ANSWER_MAX_BYTES)
        self._stream: defer.Deferred[None] | None = None
        self._timer: http.DelayedCall | None = None
        self._stopped = False

    def start(self) -> defer.Deferred[None]:
        """Open the stream; the Deferred fires or fails at its end."""
        request = protocol.watch_request(self._effect)
        self._stream = self._http.stream(const.PATH_WATCH, request, self._lines)
        self._restart_timer()
        return self._stream.addBoth(self._end)

    def stop(self) -> None:
        """Close the stream and deliver nothing from now on."""
        self._stopped = True
        if self._stream is not None:
            self._stream.cancel()

    def _receive(self, line: bytes) -> None:
        if self._stopped:
            return
        self._restart_timer()
        result = protocol.watch_result(line)
        records, revision = protocol.watch_records(result)
        if records:
            self._deliver(events.StoreChanged(self.tag, records, revision))

    def _restart_timer(self) -> None:
        self._stop_timer()
        self._timer = self._http.call_later(self._silence_ms, self._time_out)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _time_out(self) -> None:
        if self._stream is not None:
            self._stream.cancel()

    def _end(self, outcome: None | failure.Failure) -> None | failure.Failure:
        self._stop_timer()
        return outcome
