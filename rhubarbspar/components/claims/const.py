"""Constants of the claims component."""

import typing

DUTY_MOVES: typing.Final = 'duty/moves'
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
LEASE_VALIDITY_MS: typing.Final = 8_000
ATTESTATION_MAX_AGE_MS: typing.Final = 4_000

# A lease may end right after its renewal, while its holder trusts it for TRUST_MS; the 6 s that cover a
# holder with fresh knowledge that the store is down are part of this wait.
TAKEOVER_WAIT_MS: typing.Final = LEASE_VALIDITY_MS

ANSWER_TIMEOUT_MS: typing.Final = 5_000
GRANT_RETRY_MS: typing.Final = 1_000
HEARTBEAT_MARGIN_MS: typing.Final = 1_000
PLAN_INTERVAL_MS: typing.Final = 1_000
READ_INTERVAL_MS: typing.Final = 5_000
READ_RETRY_MS: typing.Final = 1_000
UNLISTED_WAIT_MS: typing.Final = 10_000
# After an outage all leases may have ended. Former holders ask for a new one every second and take their
# claims again at once; anybody else would have to outwait their trust.
FORMER_HOLDER_PRIORITY_MS: typing.Final = 3_000

# Delegations of a share last at most 1.5 s; the share is given away only after they have ended.
SHARE_DRAIN_MS: typing.Final = 1_600

METRIC_CLAIMS: typing.Final = 'claims'
REASON_CONFLICTED: typing.Final = 'conflicted'
REASON_LEASE_LOST: typing.Final = 'lease_lost'
REASON_LOST: typing.Final = 'lost'
REASON_RELEASED: typing.Final = 'released'
REASON_TAKEN: typing.Final = 'taken'
REASON_UNKNOWN: typing.Final = 'outcome_unknown'
