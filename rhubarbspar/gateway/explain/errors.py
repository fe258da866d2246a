"""Errors of the explanation of a request."""

from rhubarbspar import exceptions


class QueryError(exceptions.RhubarbsparError):
    """The query cannot be answered; the message says why."""


class MalformedQueryError(QueryError):
    """A field of the query is missing or malformed."""


class UnknownAccountError(QueryError):
    """The configuration in force has no such client account."""


class MalformedAnswerError(exceptions.RhubarbsparError):
    """An answer is no explanation of a gateway."""
