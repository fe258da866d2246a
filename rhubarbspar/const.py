"""Constants shared by the whole package: limits, store keys, metrics, refusal reasons."""

import typing

VERSION: typing.Final = '0.1.0'
PROTOCOL_VERSION: typing.Final = 2

STORE_KEY_CONFIGURATION: typing.Final = 'config'
STORE_PREFIX_MOVES: typing.Final = 'moves/'

BODY_MAX_BYTES: typing.Final = 1_048_576
HEADERS_MAX_BYTES: typing.Final = 16_384
MS_PER_S: typing.Final = 1000
TICK_INTERVAL_MS: typing.Final = 50

METRIC_CONNECTION_REFUSALS: typing.Final = 'connection_refusals'
METRIC_REFUSALS: typing.Final = 'refusals'
METRIC_RETRIES: typing.Final = 'retries'
METRIC_EVENTS: typing.Final = 'events'

REASON_BACKEND_FAILED: typing.Final = 'backend_failed'
REASON_BAD_REQUEST: typing.Final = 'bad_request'
REASON_BODY_TOO_LARGE: typing.Final = 'body_too_large'
REASON_CRASHES_SERVERS: typing.Final = 'crashes_servers'
REASON_DEADLINE_EXCEEDED: typing.Final = 'deadline_exceeded'
REASON_FULL: typing.Final = 'full'
REASON_HEADERS_TOO_LARGE: typing.Final = 'headers_too_large'
REASON_IDEMPOTENCY_KEY_EXPIRED: typing.Final = 'idempotency_key_expired'
REASON_IDEMPOTENCY_KEY_INVALID: typing.Final = 'idempotency_key_invalid'
REASON_IDEMPOTENCY_KEY_REQUIRED: typing.Final = 'idempotency_key_required'
REASON_IDEMPOTENCY_KEY_REUSED: typing.Final = 'idempotency_key_reused'
REASON_INSTANCE_STOPPING: typing.Final = 'instance_stopping'
REASON_KEY_MISSING: typing.Final = 'key_missing'
REASON_KEY_UNKNOWN: typing.Final = 'key_unknown'
REASON_KEYS_STALE: typing.Final = 'keys_stale'
REASON_METHOD_NOT_ALLOWED: typing.Final = 'method_not_allowed'
REASON_NO_CONFIGURATION: typing.Final = 'no_configuration'
REASON_NO_SERVER: typing.Final = 'no_server'
REASON_NOT_OWNER: typing.Final = 'not_owner'
REASON_OUTCOME_UNKNOWN: typing.Final = 'outcome_unknown'
REASON_RATE_LIMITED: typing.Final = 'rate_limited'
REASON_REQUEST_TIMEOUT: typing.Final = 'request_timeout'
REASON_RESPONSE_TOO_LARGE: typing.Final = 'response_too_large'
REASON_TOO_MANY_CONNECTIONS: typing.Final = 'too_many_connections'
REASON_UNKNOWN_ROUTE: typing.Final = 'unknown_route'
REASON_UNKNOWN_SERVICE: typing.Final = 'unknown_service'
