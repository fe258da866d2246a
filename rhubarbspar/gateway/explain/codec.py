"""Codec of queries and explanations between the command line and an instance."""

import dataclasses
import json
import typing
from urllib import parse as urls

import cattrs

from rhubarbspar.gateway.explain import errors
from rhubarbspar.gateway.explain import models

PATH: typing.Final = '/explain'
_BODY_BYTES_DIGITS_MAX: typing.Final = 12
_TEXT_FIELDS: typing.Final = ('account_id', 'host', 'method', 'object_key', 'path')
_REQUIRED_FIELDS: typing.Final = ('host', 'method', 'path')


def encode_target(query: models.Query) -> str:
    """Return the request target that asks an instance for an explanation."""
    return f'{PATH}?{urls.urlencode(dataclasses.asdict(query))}'


def is_query(target: str) -> bool:
    """Return whether a request target asks for an explanation."""
    return target.partition('?')[0] == PATH


def decode_target(target: str) -> models.Query:
    """Return the query of a request target.

    Raises
    ------
    errors.MalformedQueryError
        If a field is missing or malformed.
    """
    _, _, query = target.partition('?')
    fields = dict(urls.parse_qsl(query))
    missing = [name for name in _REQUIRED_FIELDS if not fields.get(name)]
    if missing:
        names = ', '.join(missing)
        raise errors.MalformedQueryError(f'missing: {names}')
    if not fields['path'].startswith('/'):
        raise errors.MalformedQueryError('path does not begin with a slash')
    texts = {field_name: fields.get(field_name, '') for field_name in _TEXT_FIELDS}
    return models.Query(**texts, body_bytes=_parse_size(fields.get('body_bytes', '0')))


def encode_explanation(explanation: models.Explanation) -> bytes:
    """Encode an explanation as JSON."""
    return json.dumps(cattrs.unstructure(explanation), indent=2).encode()


def decode_explanation(body: bytes) -> models.Explanation:
    """Decode the JSON of an explanation.

    Raises
    ------
    errors.MalformedAnswerError
        If it is no explanation.
    """
    try:
        return cattrs.structure(json.loads(body), models.Explanation)
    except (ValueError, cattrs.BaseValidationError) as error:
        raise errors.MalformedAnswerError('the answer is no explanation of a gateway') from error


def encode_error(error: errors.QueryError) -> bytes:
    """Encode the reason for which there is no explanation."""
    return str(error).encode()


def _parse_size(raw: str) -> int:
    if not (raw.isascii() and raw.isdigit()) or len(raw) > _BODY_BYTES_DIGITS_MAX:
        raise errors.MalformedQueryError('body_bytes is not a number of bytes')
    return int(raw)
