"""HTTP request of a caller."""

import io
import typing

from twisted.python import failure
from twisted.web import http
from twisted.web import http_headers

from rhubarbspar import const as package_const
from rhubarbspar.core import models
from rhubarbspar.server import sending

_LINE_BREAKS = frozenset('\r\n')
_PHRASE_UNKNOWN = b'Unknown Status'


class CallerRequest(http.Request):
    """Request of a caller, with its body in memory."""

    channel: typing.Any
    identifier = ''

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose announced length exceeds the limit, before reading it."""
        # Twisted would write a large body to a temporary file, but instances have no disk.
        self._body = io.BytesIO()
        self.content = self._body
        if length is not None and length > package_const.BODY_MAX_BYTES:
            self.channel.refuse(package_const.REASON_BODY_TOO_LARGE)

    def requestReceived(  # noqa: N802
        self,
        command: bytes,
        path: bytes,
        version: bytes,
    ) -> None:
        """Process the request; unlike the base class, leave form bodies unparsed."""
        self.method = command
        self.uri = path
        self.clientproto = version
        self.path = path.partition(b'?')[0]
        self.process()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append to the body, or refuse it as soon as it exceeds the limit."""
        if self._body.tell() + len(data) > package_const.BODY_MAX_BYTES:
            self.channel.refuse(package_const.REASON_BODY_TOO_LARGE)
            return
        super().handleContentChunk(data)

    def parseCookies(self) -> None:  # noqa: N802
        """Do nothing: cookies are passed on unparsed."""

    def header_value(self, name: bytes) -> str | None:
        """Return a header's last value, or ``None``.

        Unlike ``getHeader`` it accepts bytes that are not UTF-8.
        """
        texts = self.requestHeaders.getRawHeaders(name)
        return texts[-1].decode('latin-1') if texts else None

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return self._body.getvalue()

    def process(self) -> None:
        """Hand the complete request to the service."""
        self.channel.factory.service.handle_request(self)

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Tell the service that the caller has disconnected."""
        self.channel.factory.service.handle_disconnect(self.identifier)
        super().connectionLost(reason)

    def query_argument(self, name: bytes) -> bytes:
        """Return the first value of a query argument, or ``b''``."""
        query = self.uri.partition(b'?')[2]
        texts = http.parse_qs(query, keep_blank_values=True).get(name)
        return texts[0] if texts else b''

    def write_response(self, response: models.Response, closes: bool) -> None:
        """Write a complete response in one call; ``closes`` ends the connection after it."""
        if closes:
            self.responseHeaders.setRawHeaders(b'Connection', [b'close'])
            self.channel.persistent = False
        bodiless = self.method == b'HEAD' or response.status in http.NO_BODY_CODES
        # For HEAD and for a status such as 304, the length of the omitted body is unknown.
        if response.body or not bodiless:
            length = str(len(response.body)).encode()
            self.responseHeaders.setRawHeaders(b'Content-Length', [length])
        head = _render_head(self.clientproto, response, self.responseHeaders)
        self.startedWriting = 1
        sending.send_immediately(self.channel.transport, head if bodiless else head + response.body)
        self.finish()


def _render_head(
    version: bytes, response: models.Response, own_headers: http_headers.Headers
) -> bytes:
    phrase = http.RESPONSES.get(response.status, _PHRASE_UNKNOWN)
    lines = [b'%b %d %b' % (version, response.status, phrase)]
    lines.extend(_header_line(name, text) for name, text in response.headers)
    lines.extend(b'%b: %b' % (name, texts[0]) for name, texts in own_headers.getAllRawHeaders())
    lines.extend((b'', b''))
    return b'\r\n'.join(lines)


def _header_line(name: str, text: str) -> bytes:
    # A line break in a value would let a backend server inject headers or a whole response.
    if not _LINE_BREAKS.isdisjoint(text):
        text = ' '.join(text.splitlines())
    return f'{name}: {text}'.encode('latin-1')
