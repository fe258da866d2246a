"""Parse and render configuration documents: JSON without the revision, which the store assigns."""

import json
import typing

import cattrs
from cattrs.preconf import json as cattrs_json

from rhubarbspar.components.configuration import errors
from rhubarbspar.components.configuration import models

_CONVERTER = cattrs_json.make_converter(forbid_extra_keys=True)


def parse(document: bytes, revision: int) -> models.Configuration:
    """Parse a configuration document.

    Parameters
    ----------
    document
        UTF-8 JSON as written by ``render``.
    revision
        Store revision of the record that holds the document.

    Raises
    ------
    errors.DocumentError
        If the document is not JSON or does not match the configuration model.
    """
    try:
        raw = json.loads(document)
    except ValueError as error:
        raise errors.DocumentError(f'configuration is not valid JSON: {error}') from error
    if not isinstance(raw, dict):
        raise errors.DocumentError('configuration is not a JSON object')
    return _structure(raw, revision)


def render(configuration: models.Configuration) -> bytes:
    """Return a configuration as a document, without its revision."""
    raw = _CONVERTER.unstructure(configuration)
    raw.pop('revision')
    return json.dumps(raw, sort_keys=True, indent=1).encode()


def _structure(raw: dict[str, typing.Any], revision: int) -> models.Configuration:
    try:
        return _CONVERTER.structure({**raw, 'revision': revision}, models.Configuration)
    except cattrs.BaseValidationError as group:
        details = '; '.join(cattrs.transform_error(group))
        raise errors.DocumentError(f'configuration is malformed: {details}') from group
