"""Read secrets of settings, given inline or in a separate file."""

import pathlib
import typing
from collections import abc

import voluptuous

from rhubarbspar.helpers import errors
from rhubarbspar.helpers import jsonc


def resolve(
    document: jsonc.Document,
    members: dict[str, typing.Any],
    minimum_chars: abc.Mapping[str, int],
) -> dict[str, str]:
    """Remove the secrets from ``members`` and return them.

    A secret is the value of its key, or the content of the file that ``<key>_file`` names. A
    relative file name refers to the folder of the document.

    Parameters
    ----------
    document
        Document that contains the members.
    members
        Validated content; the keys of secrets are removed.
    minimum_chars
        Minimum length of each secret by its key.

    Raises
    ------
    errors.InvalidFileError
        If a secret is not given exactly once, its file cannot be read, or it is too short.
    """
    secrets: dict[str, str] = {}
    problems: list[errors.Problem] = []
    for key, minimum in minimum_chars.items():
        present = [name for name in (key, f'{key}_file') if name in members]
        try:
            secrets[key] = _pop_secret(document, members, key, minimum)
        except voluptuous.Invalid as fault:
            problems.append(document.problem(present[:1], fault.error_message))
    if problems:
        raise errors.InvalidFileError(tuple(problems))
    return secrets


def _pop_secret(
    document: jsonc.Document, members: dict[str, typing.Any], key: str, minimum: int
) -> str:
    inline = members.pop(key, None)
    file_name = members.pop(f'{key}_file', None)
    if (inline is None) == (file_name is None):
        raise voluptuous.Invalid(f'give exactly one of {key} and {key}_file')
    secret = str(inline)
    if file_name is not None:
        secret = _read_secret(pathlib.Path(document.file_name).parent / file_name)
    if len(secret) < minimum:
        raise voluptuous.Invalid(f'expected a secret of at least {minimum} characters')
    if not secret.isascii() or not secret.isprintable() or ' ' in secret:
        raise voluptuous.Invalid('expected printable ASCII without spaces')
    return secret


def _read_secret(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding='utf-8').strip()
    except OSError as error:
        raise voluptuous.Invalid(f'cannot read the file: {error.strerror}') from None
    except UnicodeDecodeError:
        raise voluptuous.Invalid('the file is not UTF-8 text') from None
