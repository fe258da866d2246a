"""Fencing tokens that rise, and do not repeat after a restore of the store.

Pattern: hybrid logical clock. The high bits are the time of day in milliseconds, or one more than
those of the last token; the low bits depend on the instance, so that two of them that know the same
last token choose different ones.
"""

import typing

from rhubarbspar.helpers import rendezvous

# Tokens stay below 2**53, which JSON numbers represent exactly, until the year 2039.
_IDENTITY_BITS: typing.Final = 12


def next_token(last_token: int, unix_ms: float, instance_id: str, incarnation: str) -> int:
    """Return a token of an incarnation that is higher than the last known one."""
    identity_count = 1 << _IDENTITY_BITS
    identity = int(rendezvous.hash_fraction(f'{instance_id}/{incarnation}') * identity_count)
    high = max(int(unix_ms), (last_token >> _IDENTITY_BITS) + 1)
    return (high << _IDENTITY_BITS) + identity
