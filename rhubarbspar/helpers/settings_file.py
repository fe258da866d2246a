"""Load a settings file into a data class."""

import pathlib
import typing
from collections import abc

import voluptuous

from rhubarbspar.helpers import jsonc
from rhubarbspar.helpers import schema
from rhubarbspar.helpers import secret_fields

# The file is kept and parsed as a whole; a path may name a device without an end.
SETTINGS_MAX_BYTES: typing.Final = 262_144

_Model = typing.TypeVar('_Model')


def load(
    path: str | pathlib.Path,
    members_schema: voluptuous.Schema,
    secret_min_chars: abc.Mapping[str, int],
    model: type[_Model],
) -> _Model:
    """Read and validate a settings file, with secrets inline or in separate files.

    Raises
    ------
    errors.UnreadableFileError
        If the file cannot be read.
    errors.InvalidFileError
        If the file is invalid; names file, line and key of every error.
    """
    document = jsonc.load(path, SETTINGS_MAX_BYTES)
    members = schema.validate(document, members_schema)
    secrets = secret_fields.resolve(document, members, secret_min_chars)
    return schema.structure({**members, **secrets}, model)
