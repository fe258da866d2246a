"""The list of known failures that CI passes over."""

import pathlib
import subprocess
import sys

import pytest

from tests import known_red

ENTRY = """# A comment.
test: tests/test_sample.py::test_fails
command: script/test tests/test_sample.py
seed: 3
seen: 7 of 5 requests
issue: 22
"""


def run_pytest(folder, listed, text, *arguments):
    """Run the plugin on a suite with one test file; return the exit code and the output."""
    tests = folder / 'tests'
    tests.mkdir()
    (tests / 'test_sample.py').write_text(text)
    (folder / 'KNOWN-RED.txt').write_text(listed)
    (folder / 'pytest.ini').write_text('[pytest]\ntestpaths = tests\n')
    root = pathlib.Path(__file__).parents[1]
    code = (
        f'import sys; sys.path.insert(0, {str(root)!r}); import pytest;'
        f'sys.exit(pytest.main(["-p", "tests.known_red", *{list(arguments)!r}]))'
    )
    done = subprocess.run(
        [sys.executable, '-c', code], cwd=folder, capture_output=True, text=True, check=False
    )
    return done.returncode, done.stdout + done.stderr


FAILING = 'def test_fails():\n    assert False\ndef test_passes():\n    pass\n'


@pytest.mark.parametrize('arguments', [(), ('--numprocesses=2',)])
def test_listed_failure_is_printed_and_passes(tmp_path, arguments):
    """Guards against a run that hides a known failure, or fails because of it."""
    code, output = run_pytest(tmp_path, ENTRY, FAILING, *arguments)
    assert code == 0, output
    assert 'tests/test_sample.py::test_fails [issue 22, seed 3] 7 of 5 requests' in output
    assert 'known failure: tests/test_sample.py::test_fails' in output


@pytest.mark.parametrize('arguments', [(), ('--numprocesses=2',)])
def test_listed_test_that_passes_is_an_error(tmp_path, arguments):
    """Guards against entries that remain after the fault is fixed."""
    code, output = run_pytest(tmp_path, ENTRY, 'def test_fails():\n    pass\n', *arguments)
    assert code == 1, output


@pytest.mark.parametrize('arguments', [(), ('--numprocesses=2',)])
def test_listed_test_that_does_not_exist_is_an_error(tmp_path, arguments):
    """Guards against an entry that covers a renamed or deleted test."""
    code, output = run_pytest(tmp_path, ENTRY, 'def test_other():\n    pass\n', *arguments)
    assert code == 1, output
    assert 'did not fail: tests/test_sample.py::test_fails' in output


def test_listed_tests_of_an_ignored_file_are_left_to_another_run(tmp_path):
    """Guards against a suite in two runs of which the first misses the tests of the second."""
    code, output = run_pytest(
        tmp_path,
        ENTRY.replace('test_sample', 'test_floods'),
        'def test_other():\n    pass\n',
        '--ignore=tests/test_floods.py',
    )
    assert code == 0, output


def test_listed_test_that_is_absent_fails_the_run_of_its_file(tmp_path):
    """Guards against a stale entry in a file that only runs by itself."""
    code, output = run_pytest(
        tmp_path, ENTRY, 'def test_other():\n    pass\n', 'tests/test_sample.py'
    )
    assert code == 1, output


@pytest.mark.parametrize('text', ['def test_fails():\n    pass\n', FAILING])
def test_flaky_test_may_pass_or_fail(tmp_path, text):
    """Guards against a run that fails because a test which fails now and then has passed."""
    listed = ENTRY.replace('seen: 7', 'seen: flaky, 7')
    code, output = run_pytest(tmp_path, listed, text)
    assert code == 0, output
    assert 'flaky, 7 of 5 requests' in output


def test_failure_that_is_not_listed_fails_the_run(tmp_path):
    """Guards against passing over more tests than the list names."""
    code, output = run_pytest(tmp_path, '', FAILING)
    assert code == 1, output


def test_failure_outside_the_suite_is_only_printed(tmp_path):
    """Guards against a failing day of the bench that fails a run without the bench."""
    listed = ENTRY.replace('tests/test_sample.py::test_fails', 'bench day restored')
    code, output = run_pytest(tmp_path, listed, 'def test_other():\n    pass\n')
    assert code == 0, output
    assert 'bench day restored [issue 22, seed 3]' in output


@pytest.mark.parametrize(
    'listed',
    [
        'tests/test_sample.py\n',
        ENTRY.replace('issue: 22\n', ''),
        ENTRY.replace('issue: 22', 'issue:'),
        ENTRY + 'issue: 23\n',
        ENTRY + '\n' + ENTRY,
    ],
)
def test_malformed_list_is_rejected(tmp_path, listed):
    """Guards against a list that is silently read as empty or in part."""
    with pytest.raises(known_red.KnownRedError):
        known_red.parse(listed)
    code, output = run_pytest(tmp_path, listed, 'def test_other():\n    pass\n')
    assert code not in {0, 1}
    assert 'KNOWN-RED.txt' in output
