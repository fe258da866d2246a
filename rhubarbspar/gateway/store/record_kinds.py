"""Which records of the store are kept in any case, and which ones operators write."""

import typing

from rhubarbspar.platform import const as platform_const

# Operators and the instances themselves write these, so that they are few. Anybody who runs a backend
# server writes the others.
_KEPT_PREFIXES: typing.Final = (
    platform_const.PREFIX_OPERATOR,
    platform_const.PREFIX_ROLLOUT_STATUS,
    platform_const.PREFIX_FLEET,
)


def is_evictable(key: str) -> bool:
    """Return whether the record of a key may be left out for lack of room."""
    return not key.startswith(_KEPT_PREFIXES)


def is_operator_record(key: str) -> bool:
    """Return whether operators write the record of a key."""
    return key.startswith(platform_const.PREFIX_OPERATOR)
