"""Parse JSON with comments and trailing commas (JSONC); find the line of each key."""

import dataclasses
import functools
import json
import pathlib
import re
import typing
from collections import abc

import jsonc
import yaml

from rhubarbspar.helpers import errors

KeyPath: typing.TypeAlias = abc.Sequence[str | int]

_ROOT: typing.Final[KeyPath] = ()
_STRING_OR_BLANKABLE: typing.Final = re.compile(
    r'("(?:\\.|[^\\"])*")|/\*.*?\*/|//[^\r\n]*|,(?=(?:\s|/\*.*?\*/|//[^\r\n]*)*[\]}])|\t',
    re.DOTALL,
)


class _DuplicateKeyError(ValueError):
    """An object contains a key more than once."""


@dataclasses.dataclass(frozen=True)
class Document:
    """A parsed file; its root is an object."""

    file_name: str
    text: str = dataclasses.field(repr=False)
    root: dict[str, typing.Any] = dataclasses.field(repr=False)

    def line_of(self, key_path: KeyPath) -> int:
        """Return the line of a key or element, or of its nearest existing parent."""
        return _line_of(_compose(self.text), key_path)

    def problem(self, key_path: KeyPath, message: str) -> errors.Problem:
        """Describe an error at a key path, with its line."""
        return errors.Problem(
            file_name=self.file_name,
            line=self.line_of(key_path),
            key_path=format_key_path(key_path),
            message=message,
        )


def load(path: str | pathlib.Path, max_bytes: int | None = None) -> Document:
    """Read and parse a file.

    Parameters
    ----------
    max_bytes
        Size up to which it is read; without a bound if omitted.

    Raises
    ------
    errors.UnreadableFileError
        If the file cannot be read, or is larger.
    errors.InvalidFileError
        If it is not JSON with comments, repeats a key or is not an object.
    """
    try:
        text = _read(path, max_bytes).decode('utf-8-sig')
    except OSError as error:
        raise errors.UnreadableFileError(f'{path}: {error.strerror}') from error
    except UnicodeDecodeError as error:
        raise errors.UnreadableFileError(f'{path}: not UTF-8 text') from error
    return parse(text, str(path))


def _read(path: str | pathlib.Path, max_bytes: int | None) -> bytes:
    with pathlib.Path(path).open('rb') as opened:
        if max_bytes is None:
            return opened.read()
        content = opened.read(max_bytes + 1)
    if len(content) > max_bytes:
        raise errors.UnreadableFileError(f'{path}: larger than {max_bytes} bytes')
    return content


def parse(text: str, file_name: str) -> Document:
    """Parse a text; raise ``errors.InvalidFileError`` as ``load`` does."""
    try:
        root = jsonc.loads(
            text,
            object_pairs_hook=_refuse_duplicates,
            parse_constant=_refuse_constant,
        )
    except _DuplicateKeyError as error:
        raise errors.InvalidFileError(_find_duplicates(text, file_name)) from error
    except (ValueError, RecursionError) as error:
        raise errors.InvalidFileError((_syntax_problem(text, file_name),)) from error
    if not isinstance(root, dict):
        raise errors.InvalidFileError((errors.Problem(file_name, 1, '', 'expected an object'),))
    return Document(file_name, text, root)


def format_key_path(key_path: KeyPath) -> str:
    """Format a key path as ``services.commissions.routes[0]``."""
    parts = (f'[{part}]' if isinstance(part, int) else f'.{part}' for part in key_path)
    return ''.join(parts).removeprefix('.')


def _refuse_duplicates(pairs: list[tuple[str, typing.Any]]) -> dict[str, typing.Any]:
    members = dict(pairs)
    if len(members) != len(pairs):
        raise _DuplicateKeyError
    return members


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is not JSON')


def _blank_out(text: str) -> str:
    """Replace comments, trailing commas and tabs by spaces, so that line numbers stay."""
    return _STRING_OR_BLANKABLE.sub(_blank_match, text)


def _blank_match(match: re.Match[str]) -> str:
    if match.group(1) is not None:
        return match.group(1)
    return re.sub(r'[^\r\n]', ' ', match.group())


def _syntax_problem(text: str, file_name: str) -> errors.Problem:
    try:
        json.loads(_blank_out(text), parse_constant=_refuse_constant)
    except json.JSONDecodeError as error:
        return errors.Problem(file_name, error.lineno, '', error.msg)
    except (ValueError, RecursionError) as error:
        return errors.Problem(file_name, 1, '', str(error))
    return errors.Problem(file_name, 1, '', 'malformed JSON')


@functools.lru_cache(maxsize=1)
def _compose(text: str) -> yaml.Node | None:
    """Parse the text to YAML nodes, which hold line numbers; plain JSON is YAML.

    The last result is cached, because each error in a file needs its line.
    """
    try:
        return yaml.compose(_blank_out(text), Loader=yaml.SafeLoader)
    except yaml.YAMLError:
        # YAML refuses a few characters that JSON permits; line numbers are then unknown.
        return None


def _line_of(node: yaml.Node | None, key_path: KeyPath) -> int:
    line = 1
    for part in key_path:
        found = _find_child(node, part)
        if found is None:
            return line
        line, node = found
    return line


def _find_child(node: yaml.Node | None, part: str | int) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, member in node.value:
            if key.value == part:
                return key.start_mark.line + 1, member
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        if part < len(node.value):
            element = node.value[part]
            return element.start_mark.line + 1, element
    return None


def _find_duplicates(text: str, file_name: str) -> tuple[errors.Problem, ...]:
    problems: list[errors.Problem] = []
    _collect_duplicates(_compose(text), _ROOT, file_name, problems)
    return tuple(problems) or (errors.Problem(file_name, 1, '', 'duplicate key'),)


def _collect_duplicates(
    node: yaml.Node | None,
    key_path: KeyPath,
    file_name: str,
    problems: list[errors.Problem],
) -> None:
    seen: set[str] = set()
    for line, part, member in _members(node):
        member_path = (*key_path, part)
        if part in seen:
            formatted_path = format_key_path(member_path)
            problems.append(errors.Problem(file_name, line, formatted_path, 'duplicate key'))
        if isinstance(part, str):
            seen.add(part)
        _collect_duplicates(member, member_path, file_name, problems)


def _members(node: yaml.Node | None) -> list[tuple[int, str | int, yaml.Node]]:
    if isinstance(node, yaml.MappingNode):
        return [(key.start_mark.line + 1, key.value, member) for key, member in node.value]
    if isinstance(node, yaml.SequenceNode):
        return [
            (element.start_mark.line + 1, index, element)
            for index, element in enumerate(node.value)
        ]
    return []
