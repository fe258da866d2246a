"""Pending HTTP requests of callers: translates them to events, and effects to responses."""

import dataclasses
from collections import abc

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server
from rhubarbspar.platform import requests


class CallerRequests:
    """HTTP exchanges that wait for their responses, by request number.

    Parameters
    ----------
    deliver
        Receives an event for each request, and for each caller that closes its connection early.
    """

    def __init__(self, deliver: abc.Callable[[core_events.Event], None]) -> None:
        """Wait for the first request."""
        self._deliver = deliver
        self._exchanges: dict[int, server.Exchange] = {}
        self._last_number = 0

    def receive(self, exchange: server.Exchange) -> None:
        """Register a new request and deliver its event."""
        self._last_number += 1
        request_number = self._last_number
        self._exchanges[request_number] = exchange
        exchange.on_abandoned = lambda: self._abandon(request_number)
        request = requests.decode_request(exchange.request, request_number)
        body_bytes = len(exchange.request.body)
        if body_bytes:
            request = dataclasses.replace(request, body_bytes=body_bytes)
        self._deliver(events.RequestReceived(request))

    def find_request(self, request_number: int) -> messages.Request | None:
        """Return a pending request as it was received, or ``None`` if its caller has left."""
        exchange = self._exchanges.get(request_number)
        return None if exchange is None else exchange.request

    def relay(self, request_number: int, response: messages.Response) -> None:
        """Send a backend server's response to the caller."""
        self._respond(request_number, requests.encode_relayed_response(response))

    def refuse(self, refusal: effects.Refuse) -> None:
        """Send an error response of this instance to the caller."""
        self._respond(refusal.request_number, requests.encode_refusal(refusal))

    def _respond(self, request_number: int, response: messages.Response) -> None:
        exchange = self._exchanges.pop(request_number, None)
        if exchange is not None:
            exchange.respond(response)

    def _abandon(self, request_number: int) -> None:
        if self._exchanges.pop(request_number, None) is not None:
            self._deliver(events.RequestAbandoned(request_number))
