"""HTTP client that sends attempts to backend servers over pooled connections."""

import typing
from collections import abc

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.http1 import client
from rhubarbspar.http1 import errors
from rhubarbspar.http1 import messages
from rhubarbspar.platform import requests

# Servers close idle connections after about 10 s; closing them earlier avoids sending a request
# on a connection that is being closed.
IDLE_MAX_MS: typing.Final = 7000


class BackendClient:
    """Connection pools by backend server, and calls under way by attempt.

    Parameters
    ----------
    reactor
        The reactor that the process runs.
    deliver
        Receives ``AttemptEnded`` for each attempt that was not cancelled.
    clock_ms
        Clock of the gateway.
    """

    def __init__(
        self,
        reactor: typing.Any,
        deliver: abc.Callable[[core_events.Event], None],
        clock_ms: abc.Callable[[], float],
    ) -> None:
        """Open no connection yet."""
        self._reactor = reactor
        self._deliver = deliver
        self._clock_ms = clock_ms
        self._pools: dict[str, client.Pool] = {}
        self._calls: dict[int, client.Call] = {}
        self._responses: dict[int, messages.Response] = {}

    def start(self, effect: effects.StartAttempt, request: messages.Request) -> None:
        """Send a request to the backend server of an attempt."""
        pool = self._pool(effect)
        started_ms = self._clock_ms()

        def finish(outcome: client.Outcome) -> None:  # noqa: WPS430 (holds the call's context)
            self._finish(effect.attempt_number, outcome, started_ms)

        call = client.Call(
            requests.encode_attempt(request, effect), finish, requests.response_id_header(request)
        )
        self._calls[effect.attempt_number] = call
        pool.start(call, effect.connect_timeout_ms)

    def cancel(self, attempt_number: int) -> None:
        """Close the connection of an attempt; no ``AttemptEnded`` follows."""
        call = self._calls.pop(attempt_number, None)
        if call is not None:
            call.cancel()

    def response(self, attempt_number: int) -> messages.Response | None:
        """Return the response of an attempt while its ``AttemptEnded`` is being delivered."""
        return self._responses.get(attempt_number)

    def close_pool(self, server_id: str) -> None:
        """Close the pooled connections of a backend server."""
        pool = self._pools.pop(server_id, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close all pooled connections."""
        for server_id in tuple(self._pools):
            self.close_pool(server_id)

    def close_expired(self) -> None:
        """Close the connections that have been idle for longer than ``IDLE_MAX_MS``."""
        for pool in self._pools.values():
            pool.close_expired()

    def _pool(self, effect: effects.StartAttempt) -> client.Pool:
        """Return the pool of a server; replace it if the server's address has changed."""
        server = effect.server
        endpoint = client.Endpoint(server.host, server.port)
        pool = self._pools.get(server.server_id)
        if pool is None or pool.endpoint != endpoint:
            self.close_pool(server.server_id)
            pool = client.Pool(self._reactor, endpoint, self._clock_ms, IDLE_MAX_MS)
            self._pools[server.server_id] = pool
        return pool

    def _finish(self, attempt_number: int, outcome: client.Outcome, started_ms: float) -> None:
        call = self._calls.pop(attempt_number, None)
        if call is None:
            return
        connect_ms = None
        if call.connected_ms is not None:
            connect_ms = call.connected_ms - started_ms
        if isinstance(outcome, messages.Response):
            self._responses[attempt_number] = outcome
        self._deliver(_attempt_ended_event(attempt_number, outcome, call, connect_ms))
        self._responses.pop(attempt_number, None)


def _attempt_ended_event(
    attempt_number: int, outcome: client.Outcome, call: client.Call, connect_ms: float | None
) -> events.AttemptEnded:
    match outcome:
        case messages.Response():
            return events.AttemptEnded(
                attempt_number,
                requests.classify_response(outcome),
                outcome.status,
                requests.decode_load_report(outcome),
                reused_connection=call.reused,
                connect_ms=connect_ms,
                limit_per_s=requests.decode_rate_limit(outcome),
            )
        case errors.ConnectError():
            result = events.AttemptResult.UNREACHABLE
        case errors.MalformedError():
            result = events.AttemptResult.MALFORMED
        case _:
            result = events.AttemptResult.BROKEN
    return events.AttemptEnded(attempt_number, result, reused_connection=call.reused)
