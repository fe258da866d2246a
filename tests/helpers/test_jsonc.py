"""Tests of JSON with comments."""

import pathlib

import pytest

from rhubarbspar.helpers import errors
from rhubarbspar.helpers import jsonc

_TEXT = """\ufeff{ // "a": 1,
  "a": "// no comment, \\" /* nor this */",
  /* two
     lines */ "b": [
    1,
\t{"c": null,}, // trailing
  ],
}
"""


@pytest.mark.parametrize(
    ('key_path', 'line'),
    [(('a',), 2), (('b',), 4), (('b', 0), 5), (('b', 1, 'c'), 6), (('b', 9), 4), (('z',), 1)],
)
def test_line_of_key_path(
    tmp_path: pathlib.Path,
    key_path: tuple[str | int, ...],
    line: int,
) -> None:
    """Guards against errors that name the wrong line because of comments or tabs."""
    path = tmp_path / 'file.jsonc'
    path.write_text(_TEXT, encoding='utf-8')
    document = jsonc.load(path)
    assert document.root['b'] == [1, {'c': None}]
    assert document.line_of(key_path) == line


@pytest.mark.parametrize(
    ('text', 'message'),
    [
        ('{\n/* \n */ "a" 1}', "f:3: Expecting ':' delimiter"),
        ('{\n"a": NaN}', 'f:1: NaN is not JSON'),
        ('[1]', 'f:1: expected an object'),
        ('', 'f:1: Expecting value'),
        ('{"a": {\n"b": 1,\n"b": 2}}', 'f:3: a.b: duplicate key'),
    ],
)
def test_malformed_text_is_refused_with_its_line(text: str, message: str) -> None:
    """Guards against a malformed file that is read in part, and against a wrong line number."""
    with pytest.raises(errors.InvalidFileError) as caught:
        jsonc.parse(text, 'f')
    assert str(caught.value) == message


def test_missing_file_is_named(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback when a file name is misspelled."""
    with pytest.raises(errors.UnreadableFileError, match=r'absent\.jsonc: No such file'):
        jsonc.load(tmp_path / 'absent.jsonc')
