"""Constants of the rollout component."""

import typing

INITIAL_SHARE: typing.Final = 0.05
FULL_SHARE: typing.Final = 1.0
SHARE_DIGITS: typing.Final = 6
# Until the move is done, this share of the requests stays on the old version as a control group.
CONTROL_SHARE: typing.Final = 0.05
STEP_INTERVAL_MS: typing.Final = 2000
HOLD_FULL_SHARE_MS: typing.Final = 60_000
# A new configuration is in force on every instance within this time, so afterwards no instance
# sends new work to a drained server.
DRAIN_IDLE_MS: typing.Final = 5000

READ_INTERVAL_MS: typing.Final = 1000
READ_TIMEOUT_MS: typing.Final = 5000
RECORDS_FRESH_MS: typing.Final = 4000
VERDICT_REPEAT_MS: typing.Final = 1000
LATENCY_REPORT_INTERVAL_MS: typing.Final = 1000
LATENCY_REPORT_FRESH_MS: typing.Final = 10_000

# Each route runs one test before the first acceptance and several hundred after it, because each
# acceptance restarts the test. Together they give fewer than one false verdict in 100 moves.
FALSE_VERDICT_PROBABILITY_FIRST: typing.Final = 1e-4
FALSE_VERDICT_PROBABILITY_LATER: typing.Final = 1e-6
FALSE_ACCEPTANCE_PROBABILITY: typing.Final = 0.01
FAILURE_SHARE_MIN: typing.Final = 0.02
FAILURE_SHARE_RISE: typing.Final = 0.1
SLOW_SHARE_MIN: typing.Final = 0.05
SLOW_SHARE_RISE: typing.Final = 0.15
ALTERNATIVE_SHARE_MAX: typing.Final = 0.99
REQUESTS_FOR_ACCEPTANCE: typing.Final = 50
REQUESTS_FOR_COMPARISON: typing.Final = 50
CONSECUTIVE_FAILURES: typing.Final = 5
# At this number of requests, the counts of the old version are halved, so that recent requests
# weigh more in its share of faults.
BASELINE_REQUESTS_BEFORE_DECAY: typing.Final = 1000
# Significance levels: the probability that a fault of both versions is attributed to the candidate,
# in one comparison, and over all comparisons with many old requests.
P_VALUE_MAX: typing.Final = 1e-4
P_VALUE_SUM_MAX: typing.Final = 0.1
# Without an old request for this long, consecutive failures alone reject a candidate.
COMPARISON_WAIT_MS: typing.Final = 5000
# Routes that carry this share of the traffic must have accepted the candidate before the first
# step. Waiting for routes with little traffic would delay moves beyond their deadline; their tests
# continue during the move.
ACCEPTED_TRAFFIC_SHARE: typing.Final = 0.95

SLOW_QUANTILE: typing.Final = 0.95
LATENCIES_FOR_QUANTILE: typing.Final = 20
LATENCIES_BEFORE_DECAY: typing.Final = 200
LATENCIES_DECAY_MS: typing.Final = 30_000
LATENCY_WEIGHT_MIN: typing.Final = 0.05
LATENCY_BUCKET_GROWTH: typing.Final = 1.05
LATENCY_MIN_MS: typing.Final = 0.01

REASON_CONSECUTIVE_FAILURES: typing.Final = 'consecutive_failures'
REASON_DEADLINE: typing.Final = 'deadline'
REASON_FAILURES: typing.Final = 'failures'
REASON_SLOW: typing.Final = 'slow'
VERDICT_REASONS: typing.Final = frozenset(
    (REASON_CONSECUTIVE_FAILURES, REASON_FAILURES, REASON_SLOW)
)

TAG_READ: typing.Final = 'rollout/read'
TAG_WRITE_PREFIX: typing.Final = 'rollout/write/'
CLAIM_MOVES: typing.Final = 'duty/moves'
