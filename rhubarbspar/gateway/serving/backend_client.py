"""HTTP client that sends attempts over pooled connections, to backend servers or through peers."""

import typing
from collections import abc

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.serving import forward_protocol
from rhubarbspar.helpers import addresses
from rhubarbspar.http1 import client
from rhubarbspar.http1 import descriptors
from rhubarbspar.http1 import errors
from rhubarbspar.http1 import memory
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import probe
from rhubarbspar.platform import requests

# Servers close idle connections after about 10 s; closing them earlier avoids sending a request
# on a connection that is being closed.
IDLE_MAX_MS: typing.Final = 7000
# Distinguishes the connections to peers from those to backend servers.
_PEER_POOL_PREFIX: typing.Final = 'peer/'


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
    budget
        Bounds what requests and responses hold in memory.
    connections
        Bounds the open connections of all pools.
    """

    def __init__(
        self,
        reactor: typing.Any,
        deliver: abc.Callable[[core_events.Event], None],
        clock_ms: abc.Callable[[], float],
        budget: memory.MemoryBudget,
        connections: descriptors.ConnectionLimit,
    ) -> None:
        """Open no connection yet."""
        self._budget = budget
        self._connections = connections
        self._reactor = reactor
        self._deliver = deliver
        self._clock_ms = clock_ms
        self._pools: dict[str, client.Pool] = {}
        # The secret of the instances; empty until it is known, and no peer is used until then.
        self.fleet_key = b''
        self._calls: dict[int, client.Call] = {}
        self._responses: dict[int, messages.Response] = {}

    def start(self, effect: effects.StartAttempt, request: messages.Request) -> None:
        """Send a request to the backend server of an attempt, or to the peer that passes it on."""
        message = requests.encode_attempt(request, effect)
        if effect.forwarder is None:
            self._send(effect, message, self._server_pool(effect.server))
            return
        peer = effect.forwarder
        envelope = forward_protocol.Envelope(
            effect.server.server_id,
            effect.time_left_ms,
            forward_protocol.make_token(self.fleet_key, peer.instance_id),
        )
        pool = self._pool(_PEER_POOL_PREFIX + peer.instance_id, peer.forward_address)
        self._send(effect, forward_protocol.wrap(message, envelope), pool, is_forwarded=True)

    def start_forward(self, effect: effects.StartForward, message: messages.Request) -> None:
        """Send the attempt of a peer to its backend server."""
        self._send(effect, message, self._server_pool(effect.server))

    def probe(self, effect: effects.ProbeServer) -> None:
        """Open a connection to a backend server as a check, and close it."""
        server = effect.server

        def finish(*, opened: bool) -> None:  # noqa: WPS430 (holds the server's id)
            self._deliver(events.ProbeEnded(server.server_id, opened))

        endpoint = client.Endpoint(server.host, server.port)
        probe.open_and_close(self._reactor, endpoint, effect.timeout_ms, finish)

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

    def _send(
        self,
        effect: effects.StartAttempt | effects.StartForward,
        message: messages.Request,
        pool: client.Pool,
        *,
        is_forwarded: bool = False,
    ) -> None:
        """Send the message of an attempt on a connection of a pool."""
        started_ms = self._clock_ms()

        def finish(outcome: client.Outcome) -> None:  # noqa: WPS430 (holds the call's context)
            self._finish(effect.attempt_number, outcome, started_ms, is_forwarded=is_forwarded)

        call = client.Call(message, finish, requests.response_id_header(message))
        self._calls[effect.attempt_number] = call
        pool.start(call, effect.connect_timeout_ms)

    def _server_pool(self, server: models.BackendServer) -> client.Pool:
        return self._pool(server.server_id, f'{server.host}:{server.port}')

    def _pool(self, pool_id: str, address: str) -> client.Pool:
        """Return a pool of connections; replace it if the address has changed."""
        host, port = addresses.split_host_port(address)
        endpoint = client.Endpoint(host, port)
        pool = self._pools.get(pool_id)
        if pool is None or pool.endpoint != endpoint:
            self.close_pool(pool_id)
            pool = client.Pool(
                self._reactor,
                endpoint,
                self._clock_ms,
                IDLE_MAX_MS,
                self._budget,
                self._connections,
            )
            self._pools[pool_id] = pool
        return pool

    def _finish(
        self,
        attempt_number: int,
        outcome: client.Outcome,
        started_ms: float,
        *,
        is_forwarded: bool,
    ) -> None:
        call = self._calls.pop(attempt_number, None)
        if call is None:
            return
        connect_ms = None
        if call.connected_ms is not None:
            connect_ms = call.connected_ms - started_ms
        if isinstance(outcome, messages.Response):
            self._responses[attempt_number] = outcome
        if is_forwarded:
            ended = _forwarded_ended_event(attempt_number, outcome, call)
        else:
            ended = _attempt_ended_event(attempt_number, outcome, call, connect_ms)
        self._deliver(ended)
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
                leaving=requests.decode_leaving(outcome),
                retry_after_ms=requests.decode_retry_after_ms(outcome),
            )
        case errors.ConnectError():
            result = events.AttemptResult.UNREACHABLE
        case errors.MalformedError():
            result = events.AttemptResult.MALFORMED
        case errors.NoSocketError():
            result = events.AttemptResult.NOT_SENT
        case _:
            result = events.AttemptResult.BROKEN
    return events.AttemptEnded(
        attempt_number, result, reused_connection=call.reused, detail=str(outcome)
    )


def _forwarded_ended_event(
    attempt_number: int, outcome: client.Outcome, call: client.Call
) -> events.AttemptEnded:
    """Return the result of an attempt that was sent through a peer.

    It is the response of the server that the peer returns, the result that the peer has seen, or
    the result of the connection to the peer.
    """
    match outcome:
        case errors.ConnectError():
            not_forwarded = events.AttemptResult.NOT_FORWARDED
            return events.AttemptEnded(attempt_number, not_forwarded)
        case messages.Response():
            seen = forward_protocol.decode_result(outcome)
            if seen is not None:
                return events.AttemptEnded(attempt_number, seen)
    return _attempt_ended_event(attempt_number, outcome, call, None)
