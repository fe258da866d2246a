"""Constants of the gateway; times are in milliseconds unless the name says otherwise."""

import typing

# Interval of heartbeats to every peer; it grows with the fleet, so that the cost for each instance
# stays constant.
HEARTBEAT_INTERVAL_MS: typing.Final = 500
HEARTBEAT_INTERVAL_PER_PEER_MS: typing.Final = 15
# A peer is live for this many heartbeat intervals after its last heartbeat.
HEARTBEATS_MISSED_MAX: typing.Final = 3
REDIAL_INTERVAL_MS: typing.Final = 1000
# Interval of checks of peer connections and of the choice of instances that watch the store.
FLEET_CHECK_INTERVAL_MS: typing.Final = 200

LOOKUP_TTL_MS: typing.Final = 1000
LOOKUP_INSTANCES_MAX: typing.Final = 64

# After a longer pause of the process, what it knows of the store may be outdated.
PROCESS_PAUSE_MIN_MS: typing.Final = 700

# Times after the request to stop. Callers use a look-up answer for up to three times its TTL, so
# requests are still accepted for about that time.
STOP_CLOSE_IDLE_AFTER_MS: typing.Final = 1200
STOP_REFUSE_AFTER_MS: typing.Final = 2900
# The process exits this long before the end of the grace period.
STOP_EXIT_MARGIN_MS: typing.Final = 250

STATUS_OK: typing.Final = 200
STATUS_UNAUTHORIZED: typing.Final = 401
STATUS_NOT_FOUND: typing.Final = 404
STATUS_TOO_MANY_REQUESTS: typing.Final = 429
STATUS_SERVER_ERROR: typing.Final = 500
STATUS_BAD_GATEWAY: typing.Final = 502
STATUS_UNAVAILABLE: typing.Final = 503
STATUS_GATEWAY_TIMEOUT: typing.Final = 504

REASON_ACCOUNT_OVER_RATE: typing.Final = 'account_over_rate'
REASON_OVERLOADED: typing.Final = 'overloaded'
REASON_SERVERS_FULL: typing.Final = 'servers_full'
REASON_STOPPING: typing.Final = 'stopping'
METRIC_ATTEMPTS: typing.Final = 'attempts'
METRIC_REQUESTS: typing.Final = 'requests'
METRIC_LATENCY: typing.Final = 'latency'

PHASE_RUNNING: typing.Final = 'running'
PHASE_COMPLETED: typing.Final = 'completed'
PHASE_ROLLED_BACK: typing.Final = 'rolled_back'
