"""Which revision is in force."""

from rhubarbspar import const as package_const
from rhubarbspar.components.configuration import const
from rhubarbspar.components.configuration import document as documents
from rhubarbspar.components.configuration import errors
from rhubarbspar.components.configuration import models
from rhubarbspar.core import effects
from rhubarbspar.core import events


def adopt(
    own: models.ConfigurationState,
    configuration: models.Configuration,
    document: bytes,
) -> bool:
    """Put a higher revision in force; nothing is known yet about its freshness."""
    if own.current is not None and own.current.revision >= configuration.revision:
        return False
    own.current = configuration
    own.document = document
    own.confirmed_ms = float('-inf')
    return True


def apply_record(
    own: models.ConfigurationState,
    record: events.StoreRecord,
    sent_ms: float,
    now_ms: float,
) -> list[effects.Effect]:
    """Take the store's record from a read that was sent at ``sent_ms``."""
    revision = own.current.revision if own.current else 0
    if record.revision > revision:
        outputs = adopt_record(own, record, now_ms)
        if own.current is not None and own.current.revision == record.revision:
            own.confirmed_ms = sent_ms
        return outputs
    if record.revision == revision:
        return _confirm(own, record, sent_ms)
    if sent_ms < own.adopted_ms:
        # The read may have been answered before the revision in force was written.
        return []
    return _report(own, record.revision, const.REASON_ROLLED_BACK)


def adopt_record(
    own: models.ConfigurationState,
    record: events.StoreRecord,
    now_ms: float,
) -> list[effects.Effect]:
    """Put a record of the store in force unless it is malformed."""
    try:
        configuration = documents.parse(record.value, record.revision)
    except errors.DocumentError:
        return _report(own, record.revision, const.REASON_DOCUMENT_MALFORMED)
    return adopt_and_log(own, configuration, record.value, now_ms)


def adopt_and_log(
    own: models.ConfigurationState,
    configuration: models.Configuration,
    document: bytes,
    now_ms: float,
) -> list[effects.Effect]:
    """Put a configuration in force if its revision is higher, and log it."""
    if not adopt(own, configuration, document):
        return []
    own.adopted_ms = now_ms
    return [
        effects.Count(package_const.METRIC_EVENTS, const.REASON_ADOPTED),
        effects.Log(const.REASON_ADOPTED, (('revision', configuration.revision),)),
    ]


def _confirm(
    own: models.ConfigurationState,
    record: events.StoreRecord,
    sent_ms: float,
) -> list[effects.Effect]:
    if own.current is None:
        return []
    # A store that was rolled back can reach the same revision with another document.
    if record.value != own.document:
        return _report(own, record.revision, const.REASON_DIFFERS)
    own.confirmed_ms = max(own.confirmed_ms, sent_ms)
    own.reported_revision = -1
    return []


def _report(own: models.ConfigurationState, revision: int, reason: str) -> list[effects.Effect]:
    """Count the reason each time and log it once per revision."""
    outputs: list[effects.Effect] = [effects.Count(package_const.METRIC_EVENTS, reason)]
    if revision != own.reported_revision:
        own.reported_revision = revision
        outputs.append(effects.Log(reason, (('revision', revision),)))
    return outputs
