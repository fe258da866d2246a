"""Watch of a key or prefix: a stream of JSON lines from the store."""

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
    """One watch, which delivers ``StoreChanged`` events until its stream ends.

    Parameters
    ----------
    http_client
        Client of the store's address.
    effect
        The key or prefix to watch, the first revision and the tag.
    deliver
        Receives the events.
    silence_ms
        Timeout after which the stream fails if it received nothing.
    """

    def __init__(
        self,
        http_client: http.JsonClient,
        effect: effects.StoreWatch,
        deliver: abc.Callable[[events.Event], None],
        silence_ms: float,
    ) -> None:
        """Prepare the watch; ``start`` sends the request."""
        self.tag = effect.tag
        self._http = http_client
        self._effect = effect
        self._deliver = deliver
        self._silence_ms = silence_ms
        self._receiver = bodies.LineReceiver(self._receive, const.ANSWER_MAX_BYTES)
        self._stream: defer.Deferred[None] | None = None
        self._silence_timer: http.DelayedCall | None = None
        self._stopped = False

    def start(self) -> defer.Deferred[None]:
        """Open the stream; the returned Deferred fires or fails when the stream ends."""
        request = protocol.watch_request(self._effect)
        self._stream = self._http.stream(const.PATH_WATCH, request, self._receiver)
        self._restart_timer()
        return self._stream.addBoth(self._on_stream_ended)

    def stop(self) -> None:
        """Close the stream and deliver no further events."""
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
        self._silence_timer = self._http.call_later(self._silence_ms, self._cancel_silent_stream)

    def _stop_timer(self) -> None:
        if self._silence_timer is not None and self._silence_timer.active():
            self._silence_timer.cancel()

    def _cancel_silent_stream(self) -> None:
        if self._stream is not None:
            self._stream.cancel()

    def _on_stream_ended(self, outcome: None | failure.Failure) -> None | failure.Failure:
        self._stop_timer()
        return outcome
