"""HTTP client of the platform's API for duties."""

import typing
from collections import abc

from rhubarbspar import const as package_const
from rhubarbspar.gateway.usage import models
from rhubarbspar.helpers import addresses
from rhubarbspar.http1 import client
from rhubarbspar.http1 import errors as http_errors
from rhubarbspar.http1 import memory
from rhubarbspar.platform import usage

CONNECT_TIMEOUT_MS: typing.Final = 600
# A slow answer is worth waiting for: the report may have been accepted. Windows are due after 10 s.
CALL_TIMEOUT_MS: typing.Final = 3000
# Longer than a window, so that a connection is reused for the next report.
IDLE_MAX_MS: typing.Final = 20_000
# Answers have no content of interest.
_ANSWER_MAX_BYTES: typing.Final = 65_536
# Status of a call that got no response.
NO_STATUS: typing.Final = 0


class UsageApi:
    """Sends reports, one at a time.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    address
        ``host:port`` of the API.
    clock_ms
        Clock of the process.
    budget
        Memory budget of the process.
    """

    def __init__(
        self,
        reactor: typing.Any,
        address: str,
        clock_ms: abc.Callable[[], float],
        budget: memory.MemoryBudget,
    ) -> None:
        """Prepare the connection pool; the first call opens a connection."""
        host, port = addresses.split_host_port(address)
        self._reactor = reactor
        self._host = address.encode()
        part = budget.part(_ANSWER_MAX_BYTES)
        endpoint = client.Endpoint(host, port)
        self._pool = client.Pool(reactor, endpoint, clock_ms, IDLE_MAX_MS, part)
        self._call: client.Call | None = None
        self._timer: typing.Any = None

    def send(
        self,
        window: models.WindowCounts,
        holder_id: str,
        token: int,
        finish: abc.Callable[[int], None],
    ) -> None:
        """Send the report of a window; ``finish`` receives the status, unless it is cancelled."""
        self.cancel()
        request = usage.encode_report(window, holder_id, token, self._host)

        def end(outcome: client.Outcome) -> None:  # noqa: WPS430 (a callback of one call)
            self._stop_timer()
            self._call = None
            finish(_status_of(outcome))

        call = client.Call(request, end)
        self._call = call
        timeout_s = CALL_TIMEOUT_MS / package_const.MS_PER_S
        self._timer = self._reactor.callLater(timeout_s, self._abort, call)
        self._pool.start(call, CONNECT_TIMEOUT_MS)

    def cancel(self) -> None:
        """Abort the call under way; nothing is reported."""
        self._stop_timer()
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def close(self) -> None:
        """Abort the call under way and close the connections."""
        self.cancel()
        self._pool.close()

    def _abort(self, call: client.Call) -> None:
        call.abort(http_errors.BrokenError('the platform did not answer in time'))

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _status_of(outcome: client.Outcome) -> int:
    return NO_STATUS if isinstance(outcome, http_errors.HttpError) else outcome.status
