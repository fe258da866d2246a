"""Adopt revisions of the configuration: the current revision never goes back."""

from rhubarbspar import const as package_const
from rhubarbspar.components.configuration import const
from rhubarbspar.components.configuration import document as documents
from rhubarbspar.components.configuration import errors
from rhubarbspar.components.configuration import models
from rhubarbspar.core import effects
from rhubarbspar.core import events


def adopt(
    config_state: models.ConfigurationState,
    configuration: models.Configuration,
    document: bytes,
) -> bool:
    """Make a higher revision the current one, unconfirmed; return False for any other."""
    if config_state.current is not None and config_state.current.revision >= configuration.revision:
        return False
    config_state.current = configuration
    config_state.document = document
    config_state.confirmed_ms = float('-inf')
    return True


def apply_record(
    config_state: models.ConfigurationState,
    record: events.StoreRecord,
    sent_ms: float,
    now_ms: float,
) -> list[effects.Effect]:
    """Adopt, confirm or report the store's record from a read that was sent at ``sent_ms``.

    A revision lower than the current one is reported: the store was rolled back.
    """
    revision = config_state.current.revision if config_state.current else 0
    if record.revision > revision:
        outputs = adopt_record(config_state, record, now_ms)
        if config_state.current is not None and config_state.current.revision == record.revision:
            config_state.confirmed_ms = sent_ms
        return outputs
    if record.revision == revision:
        return _confirm(config_state, record, sent_ms)
    if sent_ms < config_state.adopted_ms:
        # The store may have answered this read before the current revision was written.
        return []
    return _report(config_state, record.revision, const.REASON_ROLLED_BACK)


def adopt_record(
    config_state: models.ConfigurationState,
    record: events.StoreRecord,
    now_ms: float,
) -> list[effects.Effect]:
    """Adopt a record of the store, or report it if it is malformed."""
    try:
        configuration = documents.parse(record.value, record.revision)
    except errors.DocumentError:
        return _report(config_state, record.revision, const.REASON_DOCUMENT_MALFORMED)
    return adopt_and_log(config_state, configuration, record.value, now_ms)


def adopt_and_log(
    config_state: models.ConfigurationState,
    configuration: models.Configuration,
    document: bytes,
    now_ms: float,
) -> list[effects.Effect]:
    """Adopt a configuration if its revision is higher, and log and count that."""
    if not adopt(config_state, configuration, document):
        return []
    config_state.adopted_ms = now_ms
    return [
        effects.Count(package_const.METRIC_EVENTS, const.REASON_ADOPTED),
        effects.Log(const.REASON_ADOPTED, (('revision', configuration.revision),)),
    ]


def _confirm(
    config_state: models.ConfigurationState,
    record: events.StoreRecord,
    sent_ms: float,
) -> list[effects.Effect]:
    """Confirm the current revision by the store's record, if the documents are equal."""
    if config_state.current is None:
        return []
    # A store that was rolled back can reach the same revision again with another document.
    if record.value != config_state.document:
        return _report(config_state, record.revision, const.REASON_DIFFERS)
    config_state.confirmed_ms = max(config_state.confirmed_ms, sent_ms)
    config_state.reported_revision = -1
    return []


def _report(
    config_state: models.ConfigurationState, revision: int, reason: str
) -> list[effects.Effect]:
    """Count an unusable record each time, and log it once per revision."""
    outputs: list[effects.Effect] = [effects.Count(package_const.METRIC_EVENTS, reason)]
    if revision != config_state.reported_revision:
        config_state.reported_revision = revision
        outputs.append(effects.Log(reason, (('revision', revision),)))
    return outputs
