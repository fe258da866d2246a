"""Constants of the operator command line."""

import typing

EXIT_DONE: typing.Final = 0
EXIT_FAILED: typing.Final = 1
EXIT_BAD_INPUT: typing.Final = 2
EXIT_CONFLICT: typing.Final = 3

STORE_PREFIX_CHANGES: typing.Final = 'changes/'
STORE_PREFIX_WITHDRAWN_KEYS: typing.Final = 'withdrawn/keys/'
STORE_PREFIX_WITHDRAWN_MOVES: typing.Final = 'withdrawn/moves/'

STORE_VALUE_MAX_BYTES: typing.Final = 1_000_000

# A command reads its change record to find out whether its write took effect. The lifetime covers a
# command whose process was suspended in between.
CHANGE_RECORD_TTL_S: typing.Final = 86_400

DEFAULT_CAP_SHARE: typing.Final = 0.25
DEFAULT_SETTINGS_FILE: typing.Final = 'operator.jsonc'
