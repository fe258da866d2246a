"""Forms of the request target (RFC 9112, section 3.2)."""

import dataclasses
import re
import typing

from rhubarbspar.http1 import errors
from rhubarbspar.http1 import messages

_ASTERISK: typing.Final = b'*'
# The authority is a name, an IPv4 address or an IPv6 address in brackets, with or without a port.
# User information is not accepted (RFC 9110, section 4.2.4).
_ABSOLUTE: typing.Final = re.compile(
    rb"""
    http://
    (?P<host>(?:[\w.~!$&'()*+,;=-]|%[0-9a-f]{2})+|\[[0-9a-f:.]+\])
    (?::|(?P<port>:\d+))?
    (?P<path>(?:/[^?]*)?)
    (?P<query>(?:\?.*)?)
    """,
    re.DOTALL | re.IGNORECASE | re.VERBOSE,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """A request target in origin form or asterisk form, and the headers with the host it names."""

    target: bytes
    headers: messages.Headers


def to_origin_form(method: bytes, target: bytes, headers: messages.Headers) -> Origin:
    """Return a target in absolute form in origin form, and any other one as it is.

    The authority of the target replaces the ``Host`` header (RFC 9112, section 3.2.2).

    Raises
    ------
    errors.MalformedError
        If a target in absolute form has another scheme than ``http``, or no valid authority.
    """
    if target.startswith(b'/') or target == _ASTERISK:
        return Origin(target, headers)
    match = _ABSOLUTE.fullmatch(target)
    if match is None:
        raise errors.MalformedError('the request target is no http URI with a valid authority')
    authority = b'%b%b' % (match['host'], match['port'] or b'')
    others = (header for header in headers if header[0] != b'host')
    is_server_wide = method == b'OPTIONS' and not (match['path'] or match['query'])
    path = _ASTERISK if is_server_wide else match['path'] or b'/'
    return Origin(b'%b%b' % (path, match['query']), ((b'host', authority), *others))
