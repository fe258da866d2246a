"""How fresh the knowledge of the store is; every moment is on this instance's clock."""

from rhubarbspar.components.configuration import const
from rhubarbspar.components.configuration import models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import state as core_state


def observed_at_ms(echo_sent_ms: float | None, age_ms: float | None, now_ms: float) -> float:
    """Return the moment of a remote statement, minus infinity if it states nothing.

    The statement was made after the echoed message had arrived, so that counting from its send time
    can only make the moment earlier than it was.
    """
    if echo_sent_ms is None or age_ms is None or echo_sent_ms > now_ms:
        return float('-inf')
    return echo_sent_ms - max(0, age_ms)


def apply_heartbeat(
    own: models.ConfigurationState,
    heartbeat: membership_models.Heartbeat,
    now_ms: float,
) -> None:
    """Take what a peer knows of the store."""
    echo_sent_ms = heartbeat.echo_sent_ms
    confirmed_ms = observed_at_ms(echo_sent_ms, heartbeat.confirmed_age_ms, now_ms)
    reached_ms = observed_at_ms(echo_sent_ms, heartbeat.store_reached_age_ms, now_ms)
    own.store_reached_ms = max(own.store_reached_ms, reached_ms, confirmed_ms)
    # What the peer knows holds for its revision only: ours may be older.
    if own.current is None or own.current.revision != heartbeat.revision:
        return
    attested_ms = observed_at_ms(echo_sent_ms, heartbeat.attested_age_ms, now_ms)
    own.confirmed_ms = max(own.confirmed_ms, confirmed_ms)
    own.attested_ms = max(own.attested_ms, attested_ms)


def detect_pause(calls: models.StoreCalls, now_ms: float) -> None:
    """Notice a pause: calls that failed across it say nothing about the store."""
    if now_ms - calls.last_event_ms >= const.PAUSE_GAP_MIN_MS:
        calls.resumed_ms = now_ms
        calls.failing_since_ms = None
        calls.failed_reads = 0
    calls.last_event_ms = now_ms


def record_success(own: models.ConfigurationState, sent_ms: float) -> None:
    """Record that the store answered a call."""
    own.store_reached_ms = max(own.store_reached_ms, sent_ms)
    own.calls.failing_since_ms = None
    own.calls.failed_reads = 0


def record_failure(state: core_state.State, sent_ms: float, now_ms: float) -> None:
    """Record that a read failed; a witness may then attest that the store is down."""
    own = state.configuration
    calls = own.calls
    if sent_ms < max(calls.resumed_ms, own.store_reached_ms):
        return
    if calls.failing_since_ms is None:
        calls.failing_since_ms = sent_ms
    calls.failed_reads += 1
    # One lost call is no outage, and a store that any instance has reached is not down.
    if (
        is_in_store_domain(state)
        and calls.failed_reads >= const.FAILED_READS_MIN
        and now_ms - calls.failing_since_ms >= const.FAILURE_DURATION_MIN_MS
        and now_ms - own.store_reached_ms >= const.STORE_REACHED_MAX_AGE_MS
    ):
        own.attested_ms = max(own.attested_ms, sent_ms)


def is_in_store_domain(state: core_state.State) -> bool:
    """Tell whether this instance is in the store's failure domain."""
    configuration = state.configuration.current
    if configuration is None:
        return False
    return configuration.store_failure_domain == state.membership.own.failure_domain


def keys_usable(own: models.ConfigurationState, now_ms: float) -> bool:
    """Tell whether the access keys are fresh enough."""
    if own.current is None:
        return False
    return now_ms - max(own.confirmed_ms, own.attested_ms) <= const.FRESHNESS_LIMIT_MS


def store_known_down(own: models.ConfigurationState, now_ms: float) -> bool:
    """Tell whether a fresh attestation is newer than any success."""
    if own.attested_ms <= own.store_reached_ms:
        return False
    return now_ms - own.attested_ms <= const.FRESHNESS_LIMIT_MS
