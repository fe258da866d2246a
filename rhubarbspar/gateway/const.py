"""Constants of the gateway; times are in milliseconds unless the name says otherwise."""

import typing

# A heartbeat to every peer; large fleets send less often so that the cost per instance stays flat.
HEARTBEAT_INTERVAL_MS: typing.Final = 500
HEARTBEAT_INTERVAL_PER_PEER_MS: typing.Final = 15
# Heartbeats that a live peer may miss.
HEARTBEATS_MISSED_MAX: typing.Final = 3
REDIAL_INTERVAL_MS: typing.Final = 1000
# Connections to peers and the followers of the store are looked at this often.
FLEET_CHECK_INTERVAL_MS: typing.Final = 200

LOOKUP_TTL_MS: typing.Final = 1000
LOOKUP_INSTANCES_MAX: typing.Final = 64

# A pause of the process longer than this makes what it believes uncertain.
PROCESS_PAUSE_MIN_MS: typing.Final = 700

# A planned stop: callers hold a look-up answer for up to three times its time to live.
STOP_CLOSE_IDLE_AFTER_MS: typing.Final = 1200
STOP_REFUSE_AFTER_MS: typing.Final = 2900
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
