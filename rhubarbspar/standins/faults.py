"""Faults that tests switch on and off."""

import dataclasses
import typing

from rhubarbspar.standins import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults of a service.

    Attributes
    ----------
    down
        Every connection is closed without an answer.
    delay_ms
        Time before a request is processed.
    lose_answers
        Writes take effect, then the connection is closed without an answer.
    freeze
        Nothing is processed until the fault ends; then everything received is.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: bool = False
    freeze: bool = False


def parse(document: typing.Any, previous: Faults) -> Faults:
    """Read a control request; members that it omits keep their state.

    Raises
    ------
    errors.ControlError
        If the document has unknown members.
    """
    try:
        return dataclasses.replace(previous, **document)
    except TypeError as error:
        raise errors.ControlError(f'faults: {error}') from error
