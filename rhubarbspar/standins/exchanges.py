"""One HTTP request of a stand-in and its answer."""

import json
import typing
from collections import abc

from rhubarbspar.standins import const
from rhubarbspar.standins import errors


class Exchange:
    """One request and its answer.

    Attributes
    ----------
    channel
        The connection.
    method, path, body
        Of the request.
    closed
        The connection has ended; answers are dropped.
    """

    def __init__(self, request: typing.Any) -> None:
        """Read the request."""
        self.method: str = request.method.decode()
        self.path: str = request.path.decode()
        self.body: bytes = request.content.read()
        self.closed = False
        self.channel: typing.Any = request.channel
        self._request = request
        self._on_close: list[abc.Callable[[], None]] = []
        request.notifyFinish().addErrback(self._lose)

    def header(self, name: str) -> str | None:
        """Return a header of the request."""
        found: str | None = self._request.getHeader(name)
        return found

    def header_values(self) -> list[str]:
        """Return the values of all headers of the request."""
        headers = self._request.requestHeaders.getAllRawHeaders()
        return [raw.decode('latin-1') for _name, raws in headers for raw in raws]

    def argument(self, name: str, default: str) -> str:
        """Return a query argument."""
        found: list[bytes] = self._request.args.get(name.encode(), [default.encode()])
        return found[0].decode()

    def document(self) -> typing.Any:
        """Return the body as JSON.

        Raises
        ------
        errors.ControlError
            If it is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise errors.ControlError('body is not JSON') from error

    def on_close(self, function: abc.Callable[[], None]) -> None:
        """Call a function when the connection ends before the answer does."""
        self._on_close.append(function)

    def answer_json(self, document: typing.Any, status: int = const.HTTP_OK) -> None:
        """Send a whole answer."""
        self.answer(json.dumps(document).encode(), status)

    def answer(
        self,
        body: bytes,
        status: int = const.HTTP_OK,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a whole answer."""
        if self.closed:
            return
        self._begin(status, headers)
        self._request.setHeader('Content-Length', str(len(body)))
        self._request.write(body)
        self.finish()

    def write_line(self, document: typing.Any) -> None:
        """Send one line of a stream."""
        if self.closed:
            return
        if not self._request.startedWriting:
            self._begin(const.HTTP_OK, ())
        self._request.write(f'{json.dumps(document)}\n'.encode())

    def finish(self) -> None:
        """End the answer."""
        if self.closed:
            return
        self.closed = True
        self._request.finish()

    def abort(self) -> None:
        """Close the connection at once."""
        if not self.closed:
            self.closed = True
            self.channel.transport.abortConnection()

    def stall(self) -> None:
        """Send nothing more but leave the connection open."""
        self.closed = True

    def _begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        self._request.setResponseCode(status)
        self._request.setHeader(const.CONTENT_TYPE, const.CONTENT_TYPE_JSON)
        for name, field in headers:
            self._request.setHeader(name, field)

    def _lose(self, _reason: object) -> None:
        self.closed = True
        for function in self._on_close:
            function()
