"""Reads from the store what the relay of its changes has not brought.

Pattern: repair by direct reads, at a bounded rate.
"""

import typing

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.store import missing_records
from rhubarbspar.gateway.store import store_records

# 300 instances that lack records read 1,200 of them a second; the store serves 2,000 reads.
MISSING_READ_INTERVAL_MS: typing.Final = 1000
MISSING_READS_MAX: typing.Final = 4
# All records are read again if some are missing whose keys are not known: several pages of up to 1 MB.
FULL_READ_INTERVAL_MS: typing.Final = 30_000


def read_missing(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Read records that were left out, as far as there is room for them now."""
    replica = state.replica
    if not replica.records.missing:
        return []
    elapsed_ms = now_ms - replica.prefix_read_ms
    if elapsed_ms < MISSING_READ_INTERVAL_MS:
        return []
    room_bytes = replica.records.room_bytes
    prefixes = [
        entry.key for entry in replica.records.missing.fitting(room_bytes, MISSING_READS_MAX)
    ]
    if not prefixes and replica.records.missing.has_unnamed and elapsed_ms >= FULL_READ_INTERVAL_MS:
        prefixes = (
            [missing_records.UNNAMED_KEY]
            if replica.records.missing.fits_unnamed(room_bytes)
            else []
        )
    if not prefixes:
        return []
    replica.prefix_read_ms = now_ms
    log_fields = (
        ('missing', len(replica.records.missing)),
        ('read', len(prefixes)),
        ('room_bytes', room_bytes),
        ('newest_revision', replica.records.missing.newest_revision),
    )
    reads = [effects.ReadPrefix(prefix) for prefix in prefixes]
    return [core_effects.Log('missing_records_read', log_fields), *reads]


def apply_prefix(
    state: gateway_state.State, read: events.PrefixRead, now_ms: float
) -> list[core_effects.Effect]:
    """Apply the records below a prefix that this instance has read."""
    known_revision = state.replica.revision
    changed = state.replica.apply_prefix(read)
    log_fields = (
        ('prefix', read.prefix),
        ('revision', read.revision),
        ('known_revision', known_revision),
        ('records', len(read.records)),
        ('changed', len(changed)),
    )
    outputs: list[core_effects.Effect] = [core_effects.Log('prefix_read', log_fields)]
    if changed:
        outputs.append(core_effects.Count(package_const.METRIC_EVENTS, 'prefix_read_changed'))
    return [*outputs, *store_records.apply_records(state, changed, now_ms)]
