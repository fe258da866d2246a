"""Time limits, retries, ejection and slow start of routing."""

import typing

CRASH_BLOCK_MS: typing.Final = 60_000
CRASH_SERVERS_MAX: typing.Final = 2
EJECT_BASE_MS: typing.Final = 500
EJECT_FAILURES: typing.Final = 3
EJECT_MAX_MS: typing.Final = 10_000
FINGERPRINT_LOG_CHARS: typing.Final = 12
FORWARD_TRIES_MAX: typing.Final = 3
LATENCY_WEIGHT: typing.Final = 0.05
# With exponentially distributed service times one request in 20 exceeds three times the mean.
OVERDUE_FACTOR: typing.Final = 3
QUEUED_REQUESTS_PER_SLOT: typing.Final = 2
SLOW_START_MS: typing.Final = 10_000
SLOW_START_INITIAL_SHARE: typing.Final = 0.25
# The owner must answer this long before the deadline at the instance that forwarded the request.
FORWARD_MARGIN_MS: typing.Final = 20
RETRY_AFTER_FULL_MS: typing.Final = 1_000
# Claims change holders within seconds, and each use of a server checks its claim anyway.
SYNC_INTERVAL_MS: typing.Final = 200

HEADER_REQUEST_RUN: typing.Final = 'request-run'
STATUS_SHED: typing.Final = 503
STATUS_SERVER_ERROR: typing.Final = 500
