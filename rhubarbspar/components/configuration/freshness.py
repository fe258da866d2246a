"""Decide how current this instance's configuration is, and whether the store is known to be down.

All times are on this instance's monotonic clock.
"""

from rhubarbspar.components.configuration import const
from rhubarbspar.components.configuration import models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import state as core_state


def observed_at_ms(echo_sent_ms: float | None, age_ms: float | None, now_ms: float) -> float:
    """Return when a peer observed what it reports with an age, minus infinity without an age.

    The peer reports the age after it has received the message whose send time it echoes. Counting
    the age back from that send time can therefore only give a time that is too early.
    """
    if echo_sent_ms is None or age_ms is None or echo_sent_ms > now_ms:
        return float('-inf')
    return echo_sent_ms - max(0, age_ms)


def apply_heartbeat(
    config_state: models.ConfigurationState,
    heartbeat: membership_models.Heartbeat,
    now_ms: float,
) -> None:
    """Take over a peer's more recent observations of the store from its heartbeat."""
    echo_sent_ms = heartbeat.echo_sent_ms
    confirmed_ms = observed_at_ms(echo_sent_ms, heartbeat.confirmed_age_ms, now_ms)
    reached_ms = observed_at_ms(echo_sent_ms, heartbeat.store_reached_age_ms, now_ms)
    config_state.store_reached_ms = max(config_state.store_reached_ms, reached_ms, confirmed_ms)
    # The peer's confirmation and attestation hold only for its own revision.
    if config_state.current is None or config_state.current.revision != heartbeat.revision:
        return
    attested_ms = observed_at_ms(echo_sent_ms, heartbeat.attested_age_ms, now_ms)
    config_state.confirmed_ms = max(config_state.confirmed_ms, confirmed_ms)
    config_state.attested_ms = max(config_state.attested_ms, attested_ms)


def detect_pause(calls: models.StoreCalls, now_ms: float) -> None:
    """Record an event's time; after a pause of the process, forget failed reads.

    Calls that failed because of the pause say nothing about the store.
    """
    if now_ms - calls.last_event_ms >= const.PAUSE_GAP_MIN_MS:
        calls.resumed_ms = now_ms
        calls.failing_since_ms = None
        calls.failed_reads = 0
    calls.last_event_ms = now_ms


def record_success(config_state: models.ConfigurationState, sent_ms: float) -> None:
    """Record that the store answered a call."""
    config_state.store_reached_ms = max(config_state.store_reached_ms, sent_ms)
    config_state.calls.failing_since_ms = None
    config_state.calls.failed_reads = 0


def record_failure(state: core_state.State, sent_ms: float, now_ms: float) -> None:
    """Record that a read failed, and attest that the store is down if that is certain enough.

    Only instances in the store's failure domain attest an outage. A read that was sent before the
    last pause or the last success does not count.
    """
    config_state = state.configuration
    calls = config_state.calls
    if sent_ms < max(calls.resumed_ms, config_state.store_reached_ms):
        return
    if calls.failing_since_ms is None:
        calls.failing_since_ms = sent_ms
    calls.failed_reads += 1
    # One failed call is no outage, and a store that any instance has just reached is not down.
    if (
        is_in_store_domain(state)
        and calls.failed_reads >= const.FAILED_READS_MIN
        and now_ms - calls.failing_since_ms >= const.FAILURE_DURATION_MIN_MS
        and now_ms - config_state.store_reached_ms >= const.STORE_REACHED_MAX_AGE_MS
    ):
        config_state.attested_ms = max(config_state.attested_ms, sent_ms)


def is_in_store_domain(state: core_state.State) -> bool:
    """Return whether this instance is in the store's failure domain."""
    configuration = state.configuration.current
    if configuration is None:
        return False
    return configuration.store_failure_domain == state.membership.own.failure_domain


def keys_usable(config_state: models.ConfigurationState, now_ms: float) -> bool:
    """Return whether the access keys are fresh enough to accept requests with them.

    Either the configuration was recently confirmed, or the store, being down, can't have changed.
    """
    if config_state.current is None:
        return False
    return (
        now_ms - max(config_state.confirmed_ms, config_state.attested_ms)
        <= const.FRESHNESS_LIMIT_MS
    )


def store_known_down(config_state: models.ConfigurationState, now_ms: float) -> bool:
    """Return whether a fresh attestation of an outage is newer than any successful store call."""
    if config_state.attested_ms <= config_state.store_reached_ms:
        return False
    return now_ms - config_state.attested_ms <= const.FRESHNESS_LIMIT_MS
