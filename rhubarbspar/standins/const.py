"""Constants of the stand-ins."""

import typing

CONTENT_TYPE: typing.Final = 'Content-Type'
CONTENT_TYPE_JSON: typing.Final = 'application/json'
HEADER_AUTHORIZATION: typing.Final = 'Authorization'
HEADER_FAULT: typing.Final = 'X-Fault'
HEADER_IDEMPOTENCY_KEY: typing.Final = 'Idempotency-Key'
HEADER_REQUEST_RUN: typing.Final = 'Request-Run'
HEADER_REQUEST_TOKEN: typing.Final = 'X-Request-Token'
HEADER_TIMEOUT_MS: typing.Final = 'Request-Timeout-Ms'

FAULT_CRASH: typing.Final = 'crash'
RUN_NOT_RUN: typing.Final = 'not_run'
PATH_CONTROL: typing.Final = '/control/'
PATH_CONTROL_FAULTS: typing.Final = '/control/faults'
PATH_CONTROL_STALL: typing.Final = '/control/stall'
METHOD_GET: typing.Final = 'GET'
METHOD_POST: typing.Final = 'POST'

HTTP_OK: typing.Final = 200
HTTP_BAD_REQUEST: typing.Final = 400
HTTP_NOT_FOUND: typing.Final = 404
HTTP_INTERNAL_ERROR: typing.Final = 500
HTTP_UNAVAILABLE: typing.Final = 503
HTTP_GATEWAY_TIMEOUT: typing.Final = 504

LISTEN_ADDRESS: typing.Final = '127.0.0.1'
MS_PER_S: typing.Final = 1000

# Limits of etcd: --max-request-bytes by this platform's statement, --max-txn-ops by default.
STORE_OPERATIONS_MAX: typing.Final = 128
STORE_VALUE_MAX_BYTES: typing.Final = 1_048_576
STORE_HISTORY_LENGTH: typing.Final = 20_000
STORE_PROGRESS_INTERVAL_MS: typing.Final = 1000

GRPC_INVALID_ARGUMENT: typing.Final = 3
GRPC_NOT_FOUND: typing.Final = 5
GRPC_UNIMPLEMENTED: typing.Final = 12

ATTR_HEADER: typing.Final = 'header'
ATTR_KEY: typing.Final = 'key'
ATTR_LEASE: typing.Final = 'lease'
ATTR_LEASE_ID: typing.Final = 'ID'
ATTR_RANGE_END: typing.Final = 'range_end'
ATTR_RESULT: typing.Final = 'result'
ATTR_TTL: typing.Final = 'TTL'

PATH_RANGE: typing.Final = '/v3/kv/range'
PATH_WATCH: typing.Final = '/v3/watch'
STORE_TICK_INTERVAL_MS: typing.Final = 100

RETURN_RETRY_MS: typing.Final = 100
LOAD_HISTORY_LENGTH: typing.Final = 10_000
PATH_LOAD: typing.Final = '/load'

CALLER_BACKLOG_S: typing.Final = 1.0
CALLER_ANSWER_MAX_BYTES: typing.Final = 16_777_216
CALLER_ATTEMPTS_MAX: typing.Final = 3
CALLER_CONNECTIONS_PER_HOST: typing.Final = 64
CALLER_CONNECT_TIMEOUT_MS: typing.Final = 1000
CALLER_DURATION_MS: typing.Final = 10_000.0
# Lets a refusal at the deadline arrive before the caller closes the connection.
CALLER_GRACE_MS: typing.Final = 500
LOOKUP_TIMEOUT_MS: typing.Final = 1000

LATENCY_DIGITS: typing.Final = 3
LATENCY_MAX_US: typing.Final = 60_000_000
LATENCY_PERCENTILES: typing.Final = (50, 90, 99, 99.9, 100)
US_PER_MS: typing.Final = 1000

CONTENT_TYPE_PROBLEM: typing.Final = 'application/problem+json'
REASON_KEY_EXPIRED: typing.Final = 'idempotency_key_expired'
REASON_NO_LOOKUP: typing.Final = 'no_lookup'
PATH_LOOKUP: typing.Final = '/v1/lookup?service='
