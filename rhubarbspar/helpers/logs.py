"""Log lines of key=value pairs."""

import json
import sys
from collections import abc

import loguru

from rhubarbspar.core import effects

_PLAIN = frozenset('abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/')


def configure(level: str, sink: abc.Callable[[str], None] | None = None) -> None:
    """Write log lines of at least this level to a sink, or to standard error."""
    loguru.logger.remove()
    loguru.logger.add(sink or sys.stderr, level=level, format=_format_record)


def write(instance_id: str, effect: effects.Log) -> None:
    """Write one line for an event."""
    loguru.logger.info(_line(instance_id, effect))


def _format_record(record: object) -> str:
    return 'time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}\n'


def _line(instance_id: str, effect: effects.Log) -> str:
    pairs = [f'event={effect.name}', f'instance={instance_id}']
    pairs.extend(f'{name}={_quote(value)}' for name, value in effect.fields)
    return ' '.join(pairs)


def _quote(value: effects.FieldValue) -> str:
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text)
