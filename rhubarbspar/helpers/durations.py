"""Times written as a number and its unit."""

import re
import typing

_PATTERN: typing.Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_MS_PER_S: typing.Final = 1000


def parse_ms(raw: object) -> float:
    """Return a time such as ``1500ms`` or ``2.5s`` in milliseconds.

    Raises
    ------
    ValueError
        If the text is no time.
    """
    match = _PATTERN.fullmatch(raw) if isinstance(raw, str) else None
    if match is None:
        raise ValueError(f'{raw!r} is no time with a unit')
    number = float(match.group(1))
    return number if match.group(2) == 'ms' else number * _MS_PER_S


def format_ms(duration_ms: float) -> str:
    """Return a time in whole milliseconds."""
    return f'{round(duration_ms)}ms'
