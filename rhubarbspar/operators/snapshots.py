"""The configuration in the store at one revision."""

import dataclasses

from rhubarbspar import const
from rhubarbspar.components.configuration import document
from rhubarbspar.components.configuration import models
from rhubarbspar.core import events
from rhubarbspar.operators import errors
from rhubarbspar.operators import store


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A configuration and its store revision; ``None`` and 0 if none has been written."""

    revision: int
    configuration: models.Configuration | None

    def require_configuration(self) -> models.Configuration:
        """Return the configuration, which must exist.

        Raises
        ------
        errors.InputError
            If no configuration has been written yet.
        """
        if self.configuration is None:
            raise errors.InputError('store has no configuration; apply answers first')
        return self.configuration


def read(operator_store: store.Store) -> Snapshot:
    """Read the current configuration from the store."""
    return from_record(operator_store.get(const.STORE_KEY_CONFIGURATION))


def from_record(record: events.StoreRecord) -> Snapshot:
    """Parse the record that holds the configuration; it may be absent."""
    if not record.revision:
        return Snapshot(0, None)
    return Snapshot(record.revision, document.parse(record.value, record.revision))
