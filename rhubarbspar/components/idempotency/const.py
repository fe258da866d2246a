"""Constants of the idempotency component."""

import typing

PREFIX_LIFETIME_MS: typing.Final = 600_000
SIGNATURE_BYTES: typing.Final = 16
SIGNATURE_CONTEXT: typing.Final = b'rhubarbspar idempotency key prefix\0'
SUFFIX_MAX_CHARACTERS: typing.Final = 128

RECORDS_MAX: typing.Final = 200_000
RESPONSE_MAX_BYTES: typing.Final = 65_536
RESPONSES_MAX_BYTES: typing.Final = 16_777_216
# A record outlives its key's prefix by at least one interval, so that no record is removed while
# the prefix is still accepted, however the remaining lifetime is rounded.
EXPIRY_INTERVAL_MS: typing.Final = 1000

HANDOVER_MESSAGE_MAX_BYTES: typing.Final = 524_288
HANDOVER_OVERHEAD_BYTES: typing.Final = 1024
HANDOVER_PARTS_MAX: typing.Final = 512
HANDOVER_RETRY_MS: typing.Final = 3000
RECORD_OVERHEAD_BYTES: typing.Final = 192
HEADER_OVERHEAD_BYTES: typing.Final = 8
