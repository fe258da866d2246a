"""Constants of the claims component."""

import typing

# Names of claims: the coordination of all moves, a backend server, and a share of the rate limits.
CLAIM_MOVES: typing.Final = 'duty/moves'
PREFIX_SERVER: typing.Final = 'server/'
PREFIX_SHARE: typing.Final = 'share/'
SHARE_COUNT: typing.Final = 16

KEY_PREFIX: typing.Final = 'claims/'
KIND_FORMER: typing.Final = 'former/'
KIND_HELD: typing.Final = 'held/'
KIND_PRESENCE: typing.Final = 'instance/'

TAG_PREFIX: typing.Final = 'claims/'
TAG_GRANT: typing.Final = 'claims/grant'
TAG_READ: typing.Final = 'claims/read'
TAG_RENEW: typing.Final = 'claims/renew'
TAG_WRITE: typing.Final = 'claims/write'

LEASE_TTL_MS: typing.Final = 10_000
RENEWAL_INTERVAL_MS: typing.Final = 3_000
# The holder counts a lease as valid for this time after it sent the last successful renewal.
LEASE_VALIDITY_MS: typing.Final = 8_000
ATTESTATION_MAX_AGE_MS: typing.Final = 4_000

# A lease may end in the store right after its renewal, while its holder counts it as valid for
# LEASE_VALIDITY_MS. This wait also includes the 6 s needed for a holder that extends the validity
# because it has a fresh attestation that the store is down.
TAKEOVER_WAIT_MS: typing.Final = LEASE_VALIDITY_MS

ANSWER_TIMEOUT_MS: typing.Final = 5_000
GRANT_RETRY_MS: typing.Final = 1_000
HEARTBEAT_MARGIN_MS: typing.Final = 1_000
PLAN_INTERVAL_MS: typing.Final = 1_000
READ_INTERVAL_MS: typing.Final = 5_000
READ_RETRY_MS: typing.Final = 1_000
UNLISTED_WAIT_MS: typing.Final = 10_000
# After an outage all leases may have ended. Former holders request a new lease every second and
# can take their claims back without a wait; any other instance has to wait for TAKEOVER_WAIT_MS.
FORMER_HOLDER_PRIORITY_MS: typing.Final = 3_000

# Delegations of a share last at most 1.5 s; the share is released only after they have ended.
SHARE_DRAIN_MS: typing.Final = 1_600

METRIC_CLAIMS: typing.Final = 'claims'
REASON_CONFLICTED: typing.Final = 'conflicted'
REASON_LEASE_LOST: typing.Final = 'lease_lost'
REASON_LOST: typing.Final = 'lost'
REASON_RELEASED: typing.Final = 'released'
REASON_TAKEN: typing.Final = 'taken'
REASON_UNKNOWN: typing.Final = 'outcome_unknown'
