"""Constants of the instance daemon."""

import typing

CONNECTIONS_MAX: typing.Final = 1_000
# Backend servers commonly close idle connections after 5 s. Reusing one that is closing would leave
# the outcome of the request unknown.
BACKEND_IDLE_CONNECTION_S: typing.Final = 2
BACKEND_CONNECT_TIMEOUT_MS: typing.Final = 1000
BACKEND_CONNECTIONS_MAX: typing.Final = 64
CONTENT_LENGTH_DIGITS_MAX: typing.Final = 18
INSTANCE_LIST_INTERVAL_S: typing.Final = 1.0
# Time for a refused caller to read the refusal. Closing while it still sends would reset the
# connection and discard the refusal.
LINGER_S: typing.Final = 2
LINGER_POLL_S: typing.Final = 0.1
LOAD_PROBE_INTERVAL_S: typing.Final = 1.0
LOAD_PROBE_TIMEOUT_S: typing.Final = 1.0
LOAD_REPORT_MAX_BYTES: typing.Final = 16_384
REQUEST_TIMEOUT_DEFAULT_MS: typing.Final = 30_000
REQUEST_TIMEOUT_MAX_MS: typing.Final = 120_000
RETRY_AFTER_CONNECTIONS_MS: typing.Final = 1000
SLOW_SENDER_TIMEOUT_S: typing.Final = 10
# An exiting process waits this long for callers to disconnect. An idle connection ends after
# SLOW_SENDER_TIMEOUT_S; closing it earlier could lose a request in flight.
CONNECTIONS_LINGER_S: typing.Final = 12

HEADER_AUTHORIZATION: typing.Final = 'authorization'
HEADER_IDEMPOTENCY_KEY: typing.Final = 'idempotency-key'
HEADER_REQUEST_RUN: typing.Final = 'Request-Run'
HEADER_TIMEOUT: typing.Final = 'request-timeout-ms'

LOOKUP_PATH: typing.Final = b'/v1/lookup'
