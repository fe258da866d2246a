"""Header names, store keys, paths and status codes of the platform's protocols."""

import typing

HEADER_ATTEMPT_ID: typing.Final = b'x-rhubarbspar-attempt-id'
HEADER_DEADLINE_MS: typing.Final = b'x-rhubarbspar-deadline-ms'
# The client account of the access key; the platform calls it a tenant.
HEADER_ACCOUNT: typing.Final = b'x-rhubarbspar-tenant'
# The only backend server that may run the request; another one answers STATUS_MISDIRECTED.
HEADER_EXPECTED_SERVER: typing.Final = b'x-rhubarbspar-target-instance'
HEADER_LOAD: typing.Final = b'x-rhubarbspar-server-load'
# Says that a backend server is leaving.
HEADER_LEAVING: typing.Final = b'server-leaving'
# Requests a second that a backend server takes from all instances together.
HEADER_RATE_LIMIT: typing.Final = b'server-limit'
# Rises each time the store was restored from an older copy of its records.
HEADER_STORE_ERA: typing.Final = b'store-era'
HEADER_NOT_RUN: typing.Final = b'x-rhubarbspar-not-executed'
HEADER_AUTHORIZATION: typing.Final = b'authorization'
HEADER_COOKIE: typing.Final = b'cookie'
HEADER_HOST: typing.Final = b'host'
HEADER_CONTENT_ENCODING: typing.Final = b'content-encoding'
HEADER_RETRY_AFTER: typing.Final = b'retry-after'
COOKIE_AFFINITY_KEY: typing.Final = 'X-Rhubarbspar-Affinity-Key'
AUTHORIZATION_SCHEME: typing.Final = 'bearer '

PREFIX_ALL: typing.Final = ''
KEY_CONFIGURATION: typing.Final = 'op/config'
PREFIX_EVACUATION: typing.Final = 'op/evacuate/'
# Records that operators write.
PREFIX_OPERATOR: typing.Final = 'op/'
PREFIX_ROLLOUT: typing.Final = 'op/rollout/'
PREFIX_ROLLOUT_STATUS: typing.Final = 'status/rollout/'
PREFIX_SERVER: typing.Final = 'servers/'
# Records of the instances themselves.
PREFIX_FLEET: typing.Final = 'fleet/'
PREFIX_MEMBER: typing.Final = 'fleet/instances/'
KEY_FLEET: typing.Final = 'fleet/key'
PREFIX_USAGE: typing.Final = 'fleet/usage/'
KEY_USAGE_DUTY: typing.Final = 'fleet/usage/duty'
PREFIX_USAGE_WINDOW: typing.Final = 'fleet/usage/windows/'

PATH_READY: typing.Final = b'/readiness'
PATH_RESOLVE: typing.Final = b'/resolve'

STATUS_CONFLICT: typing.Final = 412
STATUS_MISDIRECTED: typing.Final = 421
STATUS_NOT_FOUND: typing.Final = 404
STATUS_COMPACTED: typing.Final = 410
STATUS_OK: typing.Final = 200
STATUS_UNAVAILABLE: typing.Final = 503
