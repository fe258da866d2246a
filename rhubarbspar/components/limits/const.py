"""Shares, intervals and time limits of rate limiting."""

import typing

from rhubarbspar.components.membership import const as membership_const

# Every limit is divided into this many equal shares; a claim of a share is for all limits at once.
SHARE_COUNT: typing.Final = 16

# Parts of a share's rate and burst that its holder keeps and that it delegates to the home.
RESERVE_FRACTION: typing.Final = 0.1
DELEGATED_FRACTION: typing.Final = 0.9
LINK_BURST_S: typing.Final = 0.2
MS_PER_S: typing.Final = 1_000

# After a home crashes, its delegated tokens can't be spent until the delegations to it have ended.
DELEGATION_DURATION_MS: typing.Final = 600
# At 200 ms the control traffic was 5,015 bytes/s for each instance, above its budget of 4,000.
DELEGATION_INTERVAL_MS: typing.Final = 300
DELEGATION_RETRY_MS: typing.Final = 100
HOME_CHOICE_INTERVAL_MS: typing.Final = 100

# After two missed heartbeats the delegations to an unreachable home have ended as well.
HOME_DISCONNECTED_TIMEOUT_MS: typing.Final = 2 * membership_const.HEARTBEAT_INTERVAL_MS
HOME_SILENCE_TIMEOUT_MS: typing.Final = 3 * membership_const.HEARTBEAT_INTERVAL_MS

GRANT_DURATION_MS: typing.Final = 1_000
GRANT_DURATION_MIN_MS: typing.Final = 100
# After this time without a token from the home a request uses the reserve.
HOME_TIMEOUT_MS: typing.Final = 150
# Longest time in the queue at the home, unless the home has just moved.
HOME_QUEUE_MAX_MS: typing.Final = 100

# After a move, requests wait until the shares are delegated to the new home, in order of arrival.
MOVE_WAIT_MAX_MS: typing.Final = 1_000
# Shorter than the longest wait by the time that a token request needs to reach the home, otherwise
# the home's own requests would be preferred.
MOVE_QUEUE_MAX_MS: typing.Final = 800
# For this time after a move the new home requests delegations at the retry interval.
MOVE_FAST_REQUEST_MS: typing.Final = 1_000
# The longer queueing times apply for at most this time after a move.
MOVE_RECOVERY_MS: typing.Final = 20_000
# Part of the account's rate that the home expects to get delegated after a move.
MOVE_REFILL_FRACTION: typing.Final = 0.8
# A token granted at the end of the wait still reaches its instance before the request is refused.
GRANT_DELIVERY_MS: typing.Final = 150
# Time that a request needs to run after its token was granted.
RUN_MARGIN_MS: typing.Final = 300
TOKEN_REQUEST_INTERVAL_MS: typing.Final = 10

# Unused tokens are returned to the home after this time, otherwise their refill would be lost.
GRANT_IDLE_MAX_MS: typing.Final = 300
PREFETCH_AHEAD_S: typing.Final = 0.1
PREFETCH_MAX_TOKENS: typing.Final = 8
PREFETCH_INTERVAL_MS: typing.Final = 100
DEMAND_TIME_CONSTANT_S: typing.Final = 1.0

RETRY_AFTER_MAX_MS: typing.Final = 500
