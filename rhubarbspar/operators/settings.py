"""Settings file of the operator command line."""

import dataclasses
import pathlib
import types
import typing

import voluptuous

from rhubarbspar.helpers import settings_file
from rhubarbspar.helpers import validators

CONF_INSTANCE_LIST_URL: typing.Final = 'instance_list_url'
CONF_OPERATOR_KEY: typing.Final = 'operator_key'
CONF_STORE_URL: typing.Final = 'store_url'

OPERATOR_KEY_MIN_CHARS: typing.Final = 16


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Addresses of the store and the instance list, and the secret, which ``repr`` omits."""

    store_url: str
    instance_list_url: str
    operator_key: str = dataclasses.field(repr=False)


def load(path: str | pathlib.Path) -> OperatorSettings:
    """Read and validate a settings file.

    Raises
    ------
    errors.UnreadableFileError
        If the file cannot be read.
    errors.InvalidFileError
        If settings are invalid; names file, line and key of each.
    """
    return settings_file.load(path, _SCHEMA, _SECRET_MIN_CHARS, OperatorSettings)


_SECRET_MIN_CHARS: typing.Final = types.MappingProxyType(
    {CONF_OPERATOR_KEY: OPERATOR_KEY_MIN_CHARS}
)
_SCHEMA: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(CONF_INSTANCE_LIST_URL): validators.http_url,
        voluptuous.Required(CONF_STORE_URL): validators.http_url,
        voluptuous.Optional(CONF_OPERATOR_KEY): validators.text,
        voluptuous.Optional(f'{CONF_OPERATOR_KEY}_file'): validators.text,
    },
)
