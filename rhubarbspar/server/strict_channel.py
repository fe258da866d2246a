"""HTTP connections that refuse ambiguous framing with problem details."""

import http as standard_http
import typing

from twisted.web import http

from rhubarbspar import const as package_const
from rhubarbspar.core import models
from rhubarbspar.server import caller_request
from rhubarbspar.server import const
from rhubarbspar.server import problems

_LENGTH_PREFIX = b'content-length:'


class StrictChannel(http.HTTPChannel):
    """Connection that refuses malformed and oversized requests, counts them and closes."""

    def __init__(self) -> None:
        """Set the class of requests and the limit of the headers."""
        super().__init__()
        self.refused = False
        self.requestFactory = caller_request.CallerRequest
        self.totalHeadersSize = package_const.HEADERS_MAX_BYTES

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parse a line, unless an earlier one was refused."""
        if not self.refused:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a single line that exceeds the header limit."""
        self.refuse(package_const.REASON_HEADERS_TOO_LARGE)

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        """Refuse a ``Content-Length`` with more digits than Python converts."""
        is_length = line[: len(_LENGTH_PREFIX)].lower() == _LENGTH_PREFIX
        if is_length and len(line) > len(_LENGTH_PREFIX) + const.CONTENT_LENGTH_DIGITS_MAX:
            self.refuse(package_const.REASON_BAD_REQUEST)
            return False
        accepted: bool = super().headerReceived(line)
        return accepted

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Prepare to read the body, unless a header was refused."""
        if not self.refused:
            super().allHeadersReceived()

    def refuse(self, reason: str, retry_after_ms: float | None = None) -> None:
        """Send a refusal, ignore further input and close the connection after ``LINGER_S``."""
        if self.refused:
            return
        self.refused = True
        self.setTimeout(None)
        self.factory.service.count_refusal(reason)
        refused = models.Refused(reason, models.ExecutionStatus.NOT_RUN, retry_after_ms)
        transport: typing.Any = self.transport
        transport.write(_serialize(problems.to_response(refused)))
        self._networkProducer.unregisterProducer()
        transport.loseWriteConnection()
        self._abortingCall = self.callLater(const.LINGER_S, self.forceAbortClient)

    def _send100Continue(self) -> None:  # noqa: N802
        if not self.refused:
            super()._send100Continue()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        too_large = self._receivedHeaderSize > self.totalHeadersSize
        if too_large or self._receivedHeaderCount > self.maxHeaders:
            self.refuse(package_const.REASON_HEADERS_TOO_LARGE)
            return
        self.refuse(package_const.REASON_BAD_REQUEST)


def _serialize(response: models.Response) -> bytes:
    phrase = standard_http.HTTPStatus(response.status).phrase
    length_bytes = len(response.body)
    lines = [f'HTTP/1.1 {response.status} {phrase}']
    lines.extend(f'{name}: {text}' for name, text in response.headers)
    lines.extend((f'Content-Length: {length_bytes}', 'Connection: close', '', ''))
    return '\r\n'.join(lines).encode('latin-1') + response.body
