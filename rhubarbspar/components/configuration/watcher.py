"""Reads and watch of the configuration's key in the store."""

from rhubarbspar import const as package_const
from rhubarbspar.components.configuration import const
from rhubarbspar.components.configuration import freshness
from rhubarbspar.components.configuration import models
from rhubarbspar.components.configuration import revisions
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state
from rhubarbspar.helpers import rendezvous


def tick(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Send a read when due, while this instance watches for its failure domain or probes the store.

    Adopt a pending change that no read has confirmed in time.
    """
    config_state = state.configuration
    outputs: list[effects.Effect] = []
    if (
        config_state.pending_record is not None
        and now_ms - config_state.pending_since_ms >= const.CHANGE_TIMEOUT_MS
    ):
        outputs += _adopt_pending_record(config_state, now_ms)
    is_watching = is_watcher(state, now_ms)
    if config_state.calls.watch_tag and not is_watching:
        outputs.append(effects.StoreUnwatch(config_state.calls.watch_tag))
        config_state.calls.watch_tag = ''
    if not is_watching and not _should_probe(state, now_ms):
        return outputs
    if now_ms - config_state.calls.read_sent_ms >= const.READ_INTERVAL_MS:
        outputs.append(_start_read(config_state.calls, now_ms))
    return outputs


def apply_answer(
    state: core_state.State,
    event: events.StoreAnswered,
    now_ms: float,
) -> list[effects.Effect]:
    """Apply the answer to a store call; a success of any component shows that the store is up."""
    config_state = state.configuration
    if event.outcome is not events.StoreOutcome.FAILED:
        freshness.record_success(config_state, event.sent_ms)
    if event.tag == config_state.calls.watch_tag:
        # The next successful read starts another watch.
        config_state.calls.watch_tag = ''
        return []
    if not event.tag.startswith(const.TAG_READ):
        return []
    if event.outcome is events.StoreOutcome.FAILED:
        freshness.record_failure(state, event.sent_ms, now_ms)
        return _adopt_pending_record(config_state, now_ms)
    return _read_succeeded(state, event, now_ms)


def apply_change(
    state: core_state.State,
    event: events.StoreChanged,
    now_ms: float,
) -> list[effects.Effect]:
    """Keep a change reported by the watch as pending, and send a read to confirm it.

    Only a read tells at what time the record was the store's.
    """
    config_state = state.configuration
    if event.tag != config_state.calls.watch_tag:
        return []
    revision = config_state.current.revision if config_state.current else 0
    if config_state.pending_record is not None:
        revision = max(revision, config_state.pending_record.revision)
    record = _find_record(event.records)
    if record.revision <= revision:
        return []
    config_state.pending_record = record
    config_state.pending_since_ms = now_ms
    return [_start_read(config_state.calls, now_ms)]


def is_watcher(state: core_state.State, now_ms: float) -> bool:
    """Return whether this instance watches the configuration for its failure domain."""
    this_instance = state.membership.own
    candidates = membership_reducer.live_in_failure_domain(
        state, this_instance.failure_domain, now_ms
    )
    key = f'{const.TAG_WATCH}{this_instance.failure_domain}'
    return rendezvous.choose(key, candidates) == this_instance.instance_id


def _should_probe(state: core_state.State, now_ms: float) -> bool:
    """Return whether to read because no instance has reached the store for a while.

    Only instances in the store's failure domain probe, as only they attest an outage.
    """
    silent_ms = now_ms - state.configuration.store_reached_ms
    return freshness.is_in_store_domain(state) and silent_ms >= const.PROBE_AFTER_MS


def _start_read(calls: models.StoreCalls, now_ms: float) -> effects.Effect:
    calls.read_sent_ms = now_ms
    return effects.StoreGet(_next_tag(calls, const.TAG_READ), package_const.STORE_KEY_CONFIGURATION)


def _next_tag(calls: models.StoreCalls, prefix: str) -> str:
    calls.last_call_number += 1
    return f'{prefix}{calls.last_call_number}'


def _read_succeeded(
    state: core_state.State,
    event: events.StoreAnswered,
    now_ms: float,
) -> list[effects.Effect]:
    """Apply the record that was read, and start the watch if this instance should have one."""
    config_state = state.configuration
    record = _find_record(event.records)
    if (
        config_state.pending_record is not None
        and config_state.pending_record.revision <= record.revision
    ):
        config_state.pending_record = None
    outputs = revisions.apply_record(config_state, record, event.sent_ms, now_ms)
    if config_state.calls.watch_tag or not is_watcher(state, now_ms):
        return outputs
    config_state.calls.watch_tag = _next_tag(config_state.calls, const.TAG_WATCH)
    outputs.append(
        effects.StoreWatch(
            tag=config_state.calls.watch_tag,
            key=package_const.STORE_KEY_CONFIGURATION,
            prefix=False,
            start_revision=event.revision + 1,
        ),
    )
    return outputs


def _adopt_pending_record(
    config_state: models.ConfigurationState, now_ms: float
) -> list[effects.Effect]:
    """Adopt the pending record from the watch without a confirmation, as no read succeeds."""
    record = config_state.pending_record
    config_state.pending_record = None
    return [] if record is None else revisions.adopt_record(config_state, record, now_ms)


def _find_record(records: tuple[events.StoreRecord, ...]) -> events.StoreRecord:
    """Return the latest configuration record, one with revision 0 if there is none."""
    missing = events.StoreRecord(package_const.STORE_KEY_CONFIGURATION, b'', 0)
    matching = [record for record in records if record.key == missing.key]
    return max(matching, key=lambda record: record.revision, default=missing)
