"""Write log lines of key=value pairs (logfmt)."""

import json
import sys
from collections import abc

import loguru

from rhubarbspar.core import effects

_UNQUOTED_CHARACTERS = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/'
)


def configure(level: str, sink: abc.Callable[[str], None] | None = None) -> None:
    """Send log lines of at least this level to ``sink``, by default to standard error."""
    loguru.logger.remove()
    loguru.logger.add(sink or sys.stderr, level=level, format=_format_record)


def write(instance_id: str, effect: effects.Log) -> None:
    """Write the log line of a ``Log`` effect."""
    loguru.logger.info(_format_line(instance_id, effect))


def _format_record(record: object) -> str:
    return 'time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}\n'


def _format_line(instance_id: str, effect: effects.Log) -> str:
    pairs = [f'event={effect.name}', f'instance={instance_id}']
    pairs.extend(f'{name}={_quote(value)}' for name, value in effect.fields)
    return ' '.join(pairs)


def _quote(value: effects.FieldValue) -> str:
    text = str(value)
    if text and _UNQUOTED_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)
