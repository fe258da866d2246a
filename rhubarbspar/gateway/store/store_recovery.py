"""Reads from the store what the relay of its changes has not brought.

Pattern: repair by direct reads, at a bounded rate.
"""

import operator
import typing

from rhubarbspar import const as package_const
from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.membership import fleet
from rhubarbspar.gateway.store import missing_records
from rhubarbspar.gateway.store import operator_relay
from rhubarbspar.gateway.store import record_kinds
from rhubarbspar.gateway.store import store_records
from rhubarbspar.platform import const as platform_const

# 300 instances that lack records read 1,200 of them a second; the store serves 2,000 reads.
MISSING_READ_INTERVAL_MS: typing.Final = 1000
MISSING_READS_MAX: typing.Final = 4
# All records are read again if some are missing whose keys are not known: several pages of up to 1 MB.
FULL_READ_INTERVAL_MS: typing.Final = 30_000


def tick(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Return the reads of the store that are due."""
    return [*_read_missing(state, now_ms), *_check_operator_records(state, now_ms)]


def _read_missing(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
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


def _check_operator_records(state: gateway_state.State, now_ms: float) -> list[core_effects.Effect]:
    """Read the records of operators if a peer has had newer ones for too long."""
    check = state.replica.operator_comparison
    own_revision = state.replica.records.operator_revision
    ahead = [
        peer
        for peer in state.fleet.peers.values()
        if peer.operator_revision > own_revision and peer.is_heard(now_ms)
    ]
    if not ahead or not state.replica.revision:
        check.compare(own_revision, own_revision, now_ms)
        return []
    peer = max(ahead, key=operator.attrgetter('operator_revision'))
    check.compare(own_revision, peer.operator_revision, now_ms)
    if not check.is_read_due(now_ms):
        return []
    check.read_ms = now_ms
    log_fields = (
        ('peer', peer.member.instance_id),
        ('peer_revision', peer.operator_revision),
        ('own_revision', own_revision),
        ('behind_ms', now_ms - check.behind_since_ms),
        ('age_ms', now_ms - peer.last_heartbeat_ms),
    )
    return [
        core_effects.Log('operator_records_behind', log_fields),
        core_effects.Count(package_const.METRIC_EVENTS, 'operator_records_behind'),
        effects.ReadPrefix(platform_const.PREFIX_OPERATOR),
    ]


def apply_prefix(
    state: gateway_state.State, read: events.PrefixRead, now_ms: float
) -> list[core_effects.Effect]:
    """Apply the records below a prefix that this instance has read."""
    known_revision = state.replica.revision
    changed = state.replica.apply_prefix(read)
    if platform_const.PREFIX_OPERATOR.startswith(read.prefix):
        state.replica.operator_comparison.note_read(read.revision)
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
    outputs.extend(_pass_on(state, changed))
    return [*outputs, *store_records.apply_records(state, changed, now_ms)]


def _pass_on(
    state: gateway_state.State, changed: tuple[events.RecordRead, ...]
) -> list[core_effects.Effect]:
    """Send the operators' records that were read to the children, which lack them as well."""
    urgent = [record for record in changed if record_kinds.is_operator_record(record.key)]
    child_ids = tuple(state.fleet.related_peers(fleet.Relation.CHILD))
    if not (urgent and child_ids):
        return []
    return [
        core_effects.Multicast(child_ids, message)
        for message in operator_relay.make_messages(urgent)
    ]
