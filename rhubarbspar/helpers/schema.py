"""Check documents against a schema and typed data classes."""

import datetime
import typing

import cattrs
import voluptuous

from rhubarbspar.helpers import errors
from rhubarbspar.helpers import jsonc

PROBLEMS_MAX: typing.Final = 100

_Model = typing.TypeVar('_Model')


def validate(document: jsonc.Document, schema: voluptuous.Schema) -> dict[str, typing.Any]:
    """Return the document's content with the schema's defaults.

    Raises
    ------
    errors.InvalidFileError
        With every fault, at most ``PROBLEMS_MAX``; messages never contain values, since these may
        be secrets.
    """
    try:
        checked: dict[str, typing.Any] = schema(document.root)
    except voluptuous.MultipleInvalid as invalid:
        problems = tuple(_problem(document, fault) for fault in invalid.errors[:PROBLEMS_MAX])
        raise errors.InvalidFileError(problems) from None
    return checked


def structure(members: dict[str, typing.Any], model: type[_Model]) -> _Model:
    """Build a data class from checked members."""
    return _CONVERTER.structure(members, model)


def _problem(document: jsonc.Document, fault: voluptuous.Invalid) -> errors.Problem:
    key_path = tuple(_path_part(part) for part in fault.path)
    return document.problem(key_path, fault.error_message)


def _path_part(part: object) -> str | int:
    if isinstance(part, int):
        return part
    return str(part)


def _keep_datetime(checked: datetime.datetime, _: object) -> datetime.datetime:
    return checked


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
_CONVERTER.register_structure_hook(datetime.datetime, _keep_datetime)
