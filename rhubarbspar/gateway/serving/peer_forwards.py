"""HTTP exchanges with peers whose attempts this instance passes on."""

import dataclasses
from collections import abc

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.serving import forward_protocol
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server
from rhubarbspar.platform import requests


class PeerForwards:
    """Exchanges that wait for the result of an attempt, by number.

    Parameters
    ----------
    deliver
        Receives an event for each attempt, and for each peer that closes its connection early.
    instance_id
        Id of this instance, which the tokens of the peers name.

    Attributes
    ----------
    fleet_key
        The secret of the instances; nothing is passed on while it is empty.
    """

    def __init__(self, deliver: abc.Callable[[core_events.Event], None], instance_id: str) -> None:
        """Wait for the first attempt."""
        self.fleet_key = b''
        self._deliver = deliver
        self._instance_id = instance_id
        self._exchanges: dict[int, server.Exchange] = {}
        self._last_number = 0

    def screen(self, message: messages.Request) -> messages.Response | None:
        """Return the response that refuses a peer without the key, before its body is read."""
        envelope = forward_protocol.decode_envelope(message)
        if envelope is not None and forward_protocol.is_valid_token(
            envelope.token, self.fleet_key, self._instance_id
        ):
            return None
        return _encode_result(message, events.AttemptResult.NOT_FORWARDED)

    def refuse_surplus(self, message: messages.Request) -> messages.Response:
        """Return the response to a peer on a connection beyond the limit, which then closes."""
        refusal = _encode_result(message, events.AttemptResult.NOT_FORWARDED)
        return dataclasses.replace(refusal, keep_alive=False)

    def receive(self, exchange: server.Exchange) -> None:
        """Register an attempt that ``screen`` has accepted, and deliver its event."""
        message = exchange.request
        envelope = forward_protocol.decode_envelope(message)
        if envelope is None:
            return
        self._last_number += 1
        number = self._last_number
        self._exchanges[number] = exchange
        exchange.on_abandoned = lambda: self._abandon(number)
        forwarded = models.ForwardedAttempt(
            number,
            requests.read_attempt_id(message),
            envelope.server_id,
            envelope.time_left_ms,
        )
        self._deliver(events.ForwardReceived(forwarded))

    def find_message(self, number: int) -> messages.Request | None:
        """Return the request for the backend server, or ``None`` if the peer has left."""
        exchange = self._exchanges.get(number)
        return None if exchange is None else forward_protocol.unwrap(exchange.request)

    def answer(
        self,
        number: int,
        attempt_result: events.AttemptResult,
        response: messages.Response | None,
    ) -> None:
        """Return the response of the backend server, or the result of the attempt without one."""
        exchange = self._exchanges.pop(number, None)
        if exchange is None:
            return
        if response is None:
            exchange.respond(_encode_result(exchange.request, attempt_result))
        else:
            exchange.respond(forward_protocol.encode_response(response))

    def _abandon(self, number: int) -> None:
        if self._exchanges.pop(number, None) is not None:
            self._deliver(events.ForwardAbandoned(number))


def _encode_result(
    message: messages.Request, attempt_result: events.AttemptResult
) -> messages.Response:
    return forward_protocol.encode_result(attempt_result, requests.response_id_header(message))
