"""Validators of values that several schemas share."""

import ipaddress
import re
import typing
from urllib import parse as urls

import voluptuous

from rhubarbspar.helpers import durations

PORT_MAX: typing.Final = 65_535
_NON_NEGATIVE: typing.Final = voluptuous.Range(min=0)
_IDENTIFIER: typing.Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')


def text(raw: typing.Any) -> str:
    """Accept a string that is not blank."""
    if not isinstance(raw, str) or not raw.strip():
        raise voluptuous.Invalid('expected a string that is not empty')
    return raw


def identifier(raw: typing.Any) -> str:
    """Accept an identifier; it becomes part of store keys, log lines and URLs."""
    if not isinstance(raw, str) or not _IDENTIFIER.fullmatch(raw):
        raise voluptuous.Invalid(
            'expected 1 to 64 letters, digits, dots, hyphens or underscores, '
            'starting with a letter or digit',
        )
    return raw


def address(raw: typing.Any) -> str:
    """Accept ``host:port`` with an IP address as host; an IPv6 address needs brackets."""
    if not isinstance(raw, str):
        raise voluptuous.Invalid('expected host:port')
    host, _, port = raw.rpartition(':')
    _check_host(host)
    if not re.fullmatch('[0-9]{1,5}', port) or not 1 <= int(port) <= PORT_MAX:
        raise voluptuous.Invalid('expected a port from 1 to 65535')
    return raw


def http_url(raw: typing.Any) -> str:
    """Accept an ``http`` URL with an IP address as host and a port."""
    try:
        parts = urls.urlsplit(text(raw))
    except ValueError:
        raise voluptuous.Invalid('expected http://host:port/') from None
    if parts.scheme != 'http':
        raise voluptuous.Invalid('expected a URL with the scheme http')
    address(parts.netloc)
    return parts.geturl()


def whole_number(minimum: int, maximum: int) -> voluptuous.All:
    """Return a validator of an integer from ``minimum`` to ``maximum``; it refuses booleans."""
    return voluptuous.All(_not_boolean, int, voluptuous.Range(min=minimum, max=maximum))


def number(raw: typing.Any) -> float:
    """Accept an integer or a float and return a float."""
    _not_boolean(raw)
    if not isinstance(raw, int | float):
        raise voluptuous.Invalid('expected a number')
    try:
        return float(raw)
    except OverflowError:
        raise voluptuous.Invalid('number is too large') from None


def non_negative(raw: typing.Any) -> float:
    """Accept a number of at least 0 and return a float."""
    accepted: float = _NON_NEGATIVE(number(raw))
    return accepted


def duration_ms(raw: object) -> float:
    """Accept a time with its unit and return milliseconds."""
    try:
        return durations.parse_ms(raw)
    except ValueError as error:
        raise voluptuous.Invalid('expected a time such as 1500ms or 2.5s') from error


def _check_host(host: str) -> None:
    bare = host.removeprefix('[').removesuffix(']')
    try:
        parsed = ipaddress.ip_address(bare)
    except ValueError:
        raise voluptuous.Invalid('expected host:port with an IP address as host') from None
    if parsed.is_unspecified or parsed.is_multicast:
        raise voluptuous.Invalid('expected the IP address of a single host')
    bracketed = host == f'[{bare}]'
    if bracketed != (parsed.version == 6):
        raise voluptuous.Invalid('brackets are required around an IPv6 address and only there')


def _not_boolean(raw: typing.Any) -> typing.Any:
    if isinstance(raw, bool):
        raise voluptuous.Invalid('expected a number')
    return raw
