"""Constants of the gateway; times are in milliseconds unless the name says otherwise."""

import typing

HEARTBEAT_INTERVAL_MS: typing.Final = 500
# Interval while an account uses a large part of its burst at an instance of a large fleet, whose
# reports take up to three hops.
URGENT_HEARTBEAT_INTERVAL_MS: typing.Final = 150
# A peer is live for this long after its last heartbeat.
LIVENESS_TIMEOUT_MS: typing.Final = 1500
# A peer that a relay has reported as live stays so for this long; longer than the timeout, since
# the report of the next relay takes some time when a relay has failed.
REPORTED_LIVE_TIMEOUT_MS: typing.Final = 2500
# A silent peer keeps its shares of servers' rate limits for this long: it may be restarting, or cut
# off from this instance but not from the servers. By then its callers use other instances.
PRESENT_TIMEOUT_MS: typing.Final = 12_000
# A newly registered peer is presumed to be starting for this long.
PRESUMED_LIVE_MS: typing.Final = 2000
# Up to this size of the fleet, every instance exchanges heartbeats with every other one.
MESH_INSTANCES_MAX: typing.Final = 16
# Relays of the own failure domain to which an instance keeps connections: its own, and the next.
RELAYS_CONNECTED: typing.Final = 2
# Peers of a failure domain that are dialled at the same time while none of them answers.
DIALS_MAX: typing.Final = 2
REDIAL_INTERVAL_MS: typing.Final = 1000
# Crashes of servers of which a peer is told when it connects or is heard again.
CRASHES_REPORTED_MAX: typing.Final = 256
# In a large fleet, the interval between dials of a peer that does not answer doubles this often.
REDIAL_DOUBLINGS_MAX: typing.Final = 2
# A connection that this instance has opened is closed when it was not needed for this long.
NEEDLESS_CONNECTION_MS: typing.Final = 5000
# After a change of relay, sums that came from the former one are replaced within this time.
RELAY_CHANGE_MS: typing.Final = 2000
# A peer that has lacked changes of the store for this long gets them from any other one.
CHANGES_OVERDUE_MS: typing.Final = 1000
# Changes that were sent to a peer of an earlier release, which acknowledges none, are sent again if it
# makes no progress for this time.
CHANGES_RESENT_MS: typing.Final = 1000
# Changes that a peer has not acknowledged for this long were lost, such as for a full queue. Until
# then they are on their way: on a narrow link, repeating them would delay the rest.
CHANGES_LOST_MS: typing.Final = 4000
# An instance that is no relay watches the store if its region had no follower for this long.
FOLLOWER_MISSING_MS: typing.Final = 1000
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
STATUS_BAD_REQUEST: typing.Final = 400
STATUS_UNAUTHORIZED: typing.Final = 401
STATUS_NOT_FOUND: typing.Final = 404
STATUS_TOO_MANY_REQUESTS: typing.Final = 429
STATUS_SERVER_ERROR: typing.Final = 500
STATUS_BAD_GATEWAY: typing.Final = 502
STATUS_UNAVAILABLE: typing.Final = 503
STATUS_GATEWAY_TIMEOUT: typing.Final = 504

REASON_ACCOUNT_OVER_RATE: typing.Final = 'account_over_rate'
REASON_NO_CONNECTION: typing.Final = 'no_connection'
REASON_LESS_URGENT: typing.Final = 'less_urgent'
REASON_OVER_SHARE: typing.Final = 'account_over_share'
REASON_OVERLOADED: typing.Final = 'overloaded'
REASON_SERVERS_FULL: typing.Final = 'servers_full'
REASON_STOPPING: typing.Final = 'stopping'
REASON_WAITING_FULL: typing.Final = 'waiting_full'
METRIC_ATTEMPTS: typing.Final = 'attempts'
METRIC_FORWARDS: typing.Final = 'forwards'
METRIC_SERVER_LINKS: typing.Final = 'server_links'
METRIC_REQUESTS: typing.Final = 'requests'
METRIC_LATENCY: typing.Final = 'latency'
METRIC_SCHEDULING: typing.Final = 'scheduling'

PHASE_RUNNING: typing.Final = 'running'
PHASE_COMPLETED: typing.Final = 'completed'
PHASE_ROLLED_BACK: typing.Final = 'rolled_back'
