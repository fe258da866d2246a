"""Constants of the membership component."""

import typing

HEARTBEAT_INTERVAL_MS: typing.Final = 200
CONNECTION_SILENCE_TIMEOUT_MS: typing.Final = 1000
LIVENESS_TIMEOUT_MS: typing.Final = 1500
# After three missed heartbeats, this instance may lack what the peer has learned since.
RECENT_HEARTBEAT_MS: typing.Final = 3 * HEARTBEAT_INTERVAL_MS
PEER_REMOVAL_TIMEOUT_MS: typing.Final = 10_000
PEER_LIST_MERGE_INTERVAL_MS: typing.Final = 2000
ABSENCE_RETENTION_MS: typing.Final = 60_000

REDIAL_BASE_MS: typing.Final = 250
REDIAL_MAX_MS: typing.Final = 2000
REDIAL_DOUBLINGS_MAX: typing.Final = 8
REDIAL_JITTER_MIN: typing.Final = 0.5
REDIAL_JITTER_MAX: typing.Final = 1.0

ROUND_TRIP_WEIGHT: typing.Final = 0.2
PAST_INCARNATIONS_MAX: typing.Final = 16
SHORT_INCARNATION_BYTES: typing.Final = 4
SHORT_INCARNATIONS_MAX: typing.Final = 1024
SLOTS_PER_SERVER: typing.Final = 3

REASON_HEARTBEAT_FOREIGN: typing.Final = 'heartbeat_foreign'
REASON_HEARTBEAT_INCOMPLETE: typing.Final = 'heartbeat_incomplete'
REASON_HEARTBEAT_MALFORMED: typing.Final = 'heartbeat_malformed'
REASON_HEARTBEAT_OUT_OF_ORDER: typing.Final = 'heartbeat_out_of_order'
REASON_HEARTBEAT_PAST_INCARNATION: typing.Final = 'heartbeat_past_incarnation'
REASON_PEER_SILENT: typing.Final = 'peer_silent'
