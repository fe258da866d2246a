"""Reads and the watch of the configuration's key."""

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
    """Read regularly while this instance is its failure domain's watcher or probes the store."""
    own = state.configuration
    outputs: list[effects.Effect] = []
    if own.pending_record is not None and now_ms - own.pending_since_ms >= const.CHANGE_TIMEOUT_MS:
        outputs += _adopt_pending_record(own, now_ms)
    watches = is_watcher(state, now_ms)
    if own.calls.watch_tag and not watches:
        outputs.append(effects.StoreUnwatch(own.calls.watch_tag))
        own.calls.watch_tag = ''
    if not watches and not _should_probe(state, now_ms):
        return outputs
    if now_ms - own.calls.read_sent_ms >= const.READ_INTERVAL_MS:
        outputs.append(_start_read(own.calls, now_ms))
    return outputs


def apply_answer(
    state: core_state.State,
    event: events.StoreAnswered,
    now_ms: float,
) -> list[effects.Effect]:
    """Handle the end of a call; a success of any component shows that the store is up."""
    own = state.configuration
    if event.outcome is not events.StoreOutcome.FAILED:
        freshness.record_success(own, event.sent_ms)
    if event.tag == own.calls.watch_tag:
        # The next successful read starts another watch.
        own.calls.watch_tag = ''
        return []
    if not event.tag.startswith(const.TAG_READ):
        return []
    if event.outcome is events.StoreOutcome.FAILED:
        freshness.record_failure(state, event.sent_ms, now_ms)
        return _adopt_pending_record(own, now_ms)
    return _read_succeeded(state, event, now_ms)


def apply_change(
    state: core_state.State,
    event: events.StoreChanged,
    now_ms: float,
) -> list[effects.Effect]:
    """Handle a change seen by the watch: a read tells when it was the store's revision."""
    own = state.configuration
    if event.tag != own.calls.watch_tag:
        return []
    revision = own.current.revision if own.current else 0
    if own.pending_record is not None:
        revision = max(revision, own.pending_record.revision)
    record = _find_record(event.records)
    if record.revision <= revision:
        return []
    own.pending_record = record
    own.pending_since_ms = now_ms
    return [_start_read(own.calls, now_ms)]


def is_watcher(state: core_state.State, now_ms: float) -> bool:
    """Tell whether this instance watches the configuration for its failure domain."""
    own = state.membership.own
    candidates = membership_reducer.live_in_failure_domain(state, own.failure_domain, now_ms)
    key = f'{const.TAG_WATCH}{own.failure_domain}'
    return rendezvous.choose(key, candidates) == own.instance_id


def _should_probe(state: core_state.State, now_ms: float) -> bool:
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
    own = state.configuration
    record = _find_record(event.records)
    if own.pending_record is not None and own.pending_record.revision <= record.revision:
        own.pending_record = None
    outputs = revisions.apply_record(own, record, event.sent_ms, now_ms)
    if own.calls.watch_tag or not is_watcher(state, now_ms):
        return outputs
    own.calls.watch_tag = _next_tag(own.calls, const.TAG_WATCH)
    outputs.append(
        effects.StoreWatch(
            tag=own.calls.watch_tag,
            key=package_const.STORE_KEY_CONFIGURATION,
            prefix=False,
            start_revision=event.revision + 1,
        ),
    )
    return outputs


def _adopt_pending_record(own: models.ConfigurationState, now_ms: float) -> list[effects.Effect]:
    """Put the watch's record in force without a confirmation, as no read succeeds."""
    record = own.pending_record
    own.pending_record = None
    return [] if record is None else revisions.adopt_record(own, record, now_ms)


def _find_record(records: tuple[events.StoreRecord, ...]) -> events.StoreRecord:
    absent = events.StoreRecord(package_const.STORE_KEY_CONFIGURATION, b'', 0)
    found = [record for record in records if record.key == absent.key]
    return max(found, key=lambda record: record.revision, default=absent)
