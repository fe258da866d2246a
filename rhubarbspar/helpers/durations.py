"""Parse and format durations such as ``1500ms`` or ``2.5s``."""

import re
import reprlib
import typing

_PATTERN: typing.Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_MS_PER_S: typing.Final = 1000
# Some 31 years in milliseconds; arithmetic with much longer times loses milliseconds.
_NUMBER_MAX: typing.Final = 1e12


def parse_ms(raw: object) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in milliseconds.

    Raises
    ------
    ValueError
        If ``raw`` is not a number with the unit ``ms`` or ``s``, or is too large.
    """
    match = _PATTERN.fullmatch(raw) if isinstance(raw, str) else None
    if match is None:
        raise ValueError(f'{reprlib.repr(raw)} is no time with a unit')
    number = float(match.group(1))
    if number > _NUMBER_MAX:
        raise ValueError('the time is too long')
    return number if match.group(2) == 'ms' else number * _MS_PER_S


def format_ms(duration_ms: float) -> str:
    """Format a duration in whole milliseconds."""
    return f'{round(duration_ms)}ms'
