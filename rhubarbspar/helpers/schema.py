"""Validate documents against a schema and convert them to data classes."""

import datetime
import typing

import cattrs
import voluptuous

from rhubarbspar.helpers import errors
from rhubarbspar.helpers import jsonc

PROBLEMS_MAX: typing.Final = 100

_Model = typing.TypeVar('_Model')


def validate(document: jsonc.Document, schema: voluptuous.Schema) -> dict[str, typing.Any]:
    """Return the validated content of a document, with the defaults of the schema.

    Raises
    ------
    errors.InvalidFileError
        If the content is invalid; lists every error, at most ``PROBLEMS_MAX``. Messages never
        contain values, because these may be secrets.
    """
    try:
        validated: dict[str, typing.Any] = schema(document.root)
    except voluptuous.MultipleInvalid as invalid:
        problems = tuple(
            _problem(document, invalid_member) for invalid_member in invalid.errors[:PROBLEMS_MAX]
        )
        raise errors.InvalidFileError(problems) from None
    return validated


def structure(members: dict[str, typing.Any], model: type[_Model]) -> _Model:
    """Build a data class from validated members; unknown members are refused."""
    return _CONVERTER.structure(members, model)


def _problem(document: jsonc.Document, invalid_member: voluptuous.Invalid) -> errors.Problem:
    key_path = tuple(_to_key_path_part(part) for part in invalid_member.path)
    return document.problem(key_path, invalid_member.error_message)


def _to_key_path_part(part: object) -> str | int:
    if isinstance(part, int):
        return part
    return str(part)


def _keep_datetime(validated: datetime.datetime, _: object) -> datetime.datetime:
    return validated


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
_CONVERTER.register_structure_hook(datetime.datetime, _keep_datetime)
