"""The settings file of a running gateway: whether it has changed, and its present settings."""

import pathlib

from rhubarbspar.gateway import settings
from rhubarbspar.helpers import errors
from rhubarbspar.helpers import regular_file
from rhubarbspar.helpers import settings_file


class SettingsWatch:
    """Compares a settings file with what was last read of it.

    Parameters
    ----------
    path
        The settings file.
    """

    def __init__(self, path: str) -> None:
        """Read the present text."""
        self._path = pathlib.Path(path)
        self._text = self._read()

    def has_changed(self) -> bool:
        """Return whether the file has another text; not while it is absent."""
        return self._read() not in {None, self._text}

    def load(self) -> settings.Settings:
        """Return the settings; the text counts as read, also if it is invalid.

        Raises
        ------
        exceptions.RhubarbsparError
            If the settings are absent, not a regular file, or invalid.
        """
        text = self._read()
        if text is None:
            raise errors.UnreadableFileError(f'{self._path}: no readable file')
        self._text = text
        return settings.load(self._path)

    def _read(self) -> bytes | None:
        """Return the text; of a file that is too large for settings, only the beginning."""
        try:
            return regular_file.read(self._path, settings_file.SETTINGS_MAX_BYTES + 1)
        except OSError:
            return None
