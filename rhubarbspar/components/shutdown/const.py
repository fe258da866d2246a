"""Constants of the shutdown component."""

import typing

# Callers may use the answer to a lookup for its whole time to live and need a moment to send a
# request.
LOOKUP_GRACE_MS: typing.Final = 1_000
HAND_OVER_TIMEOUT_MS: typing.Final = 2_000
RELEASE_TIMEOUT_MS: typing.Final = 2_000
