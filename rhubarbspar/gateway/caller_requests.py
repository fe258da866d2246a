"""Requests of callers: from the wire to events, and from effects to the wire."""

from collections import abc

from rhubarbspar.core import events as core_events
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.http1 import messages
from rhubarbspar.http1 import server
from rhubarbspar.platform import requests


class CallerRequests:
    """The exchanges that wait for their responses, by number.

    Parameters
    ----------
    deliver
        Receives an event for each request and for each caller that leaves.
    """

    def __init__(self, deliver: abc.Callable[[core_events.Event], None]) -> None:
        """Wait for the first request."""
        self._deliver = deliver
        self._exchanges: dict[int, server.Exchange] = {}
        self._next_number = 0

    def handle(self, exchange: server.Exchange) -> None:
        """Take a request."""
        self._next_number += 1
        number = self._next_number
        self._exchanges[number] = exchange
        exchange.abandoned = lambda: self._abandon(number)
        request = requests.decode_request(exchange.request, number)
        self._deliver(events.RequestReceived(request))

    def request(self, number: int) -> messages.Request | None:
        """Return a request as it was received, unless its caller has left."""
        exchange = self._exchanges.get(number)
        return None if exchange is None else exchange.request

    def relay(self, number: int, response: messages.Response) -> None:
        """Pass a backend server's response to the caller."""
        self._respond(number, requests.relayed(response))

    def refuse(self, refuse: effects.Refuse) -> None:
        """Answer with a status of this instance."""
        self._respond(refuse.request_number, requests.refusal(refuse))

    def _respond(self, number: int, response: messages.Response) -> None:
        exchange = self._exchanges.pop(number, None)
        if exchange is not None:
            exchange.respond(response)

    def _abandon(self, number: int) -> None:
        if self._exchanges.pop(number, None) is not None:
            self._deliver(events.RequestAbandoned(number))
