"""Pytest plugin: the tests listed in ``KNOWN-RED.txt`` must fail, and all others must pass.

The file lies in the root folder. Lines that begin with ``#`` are comments. Entries are separated by
empty lines; every entry has each of the fields of ``Entry`` on one line, as ``field: text``. An
entry whose ``test`` is not a file below ``tests/``, for example a day of the users' bench, is only
printed.

A listed test is a strict expected failure: if it passes, the run fails, unless ``seen`` begins with
``flaky``: such a test fails in some runs only. In a run of the whole suite,
or of whole files, a listed test of these files that does not exist fails the run as well.
"""

import dataclasses
import pathlib

import pytest

FILE_NAME = 'KNOWN-RED.txt'
TEST_PREFIX = 'tests/'


@dataclasses.dataclass(frozen=True)
class Entry:
    """A known failure.

    Attributes
    ----------
    test
        Node id of the test, or what else fails.
    command
        The command that shows the failure.
    seed
        Seed of the command, ``-`` without one.
    seen
        What was observed.
    issue
        The issue under which the failure is open.
    """

    test: str
    command: str
    seed: str
    seen: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Return whether the entry names a test of the suite."""
        return self.test.startswith(TEST_PREFIX)

    @property
    def is_flaky(self) -> bool:
        """Return whether the test fails in some runs only."""
        return self.seen.startswith('flaky')


class KnownRedError(ValueError):
    """The list of known failures is malformed."""


def parse(text: str) -> tuple[Entry, ...]:
    """Return the entries of a list of known failures.

    Raises
    ------
    KnownRedError
        If a line is no field, or a field is unknown, empty, missing or repeated.
    """
    entries = []
    rows: dict[str, str] = {}
    for number, raw in enumerate([*text.splitlines(), ''], start=1):
        line = raw.strip()
        if line.startswith('#'):
            continue
        if line:
            _add_field(rows, line, number)
        elif rows:
            entries.append(_make_entry(rows, number))
            rows = {}
    names = [entry.test for entry in entries]
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        raise KnownRedError(f'{FILE_NAME}: listed twice: {", ".join(repeated)}')
    return tuple(entries)


def describe(entries: tuple[Entry, ...]) -> list[str]:
    """Return a line for each known failure, below a heading."""
    lines = [f'known failures ({FILE_NAME}): {len(entries)}']
    lines.extend(
        f'  {entry.test} [issue {entry.issue}, seed {entry.seed}] {entry.seen} ({entry.command})'
        for entry in entries
    )
    return lines


def _add_field(rows: dict[str, str], line: str, number: int) -> None:
    name, _, text = line.partition(':')
    known = {field.name for field in dataclasses.fields(Entry)}
    if name not in known or name in rows or not text.strip():
        raise KnownRedError(f'{FILE_NAME}:{number}: expected one line for each of {sorted(known)}')
    rows[name] = text.strip()


def _make_entry(rows: dict[str, str], number: int) -> Entry:
    missing = [field.name for field in dataclasses.fields(Entry) if field.name not in rows]
    if missing:
        raise KnownRedError(f'{FILE_NAME}:{number}: missing before this line: {missing}')
    return Entry(**rows)


def _read(folder: pathlib.Path) -> tuple[Entry, ...]:
    path = folder / FILE_NAME
    return parse(path.read_text()) if path.exists() else ()


ENTRIES = pytest.StashKey[tuple[Entry, ...]]()
FAILED_IDS = pytest.StashKey[set[str]]()


def pytest_configure(config: pytest.Config) -> None:
    """Read the list before any test is collected."""
    try:
        config.stash[ENTRIES] = _read(config.rootpath)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[FAILED_IDS] = set()
    # Receives the reports of this run.
    config.pluginmanager.register(_ReportCollector(config.stash[FAILED_IDS]))


class _ReportCollector:
    """Collects the ids of the tests that failed as expected."""

    def __init__(self, failed_ids: set[str]) -> None:
        self._failed_ids = failed_ids

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note an expected failure."""
        if report.outcome == 'skipped' and hasattr(report, 'wasxfail'):
            self._failed_ids.add(report.nodeid)


def pytest_report_header(config: pytest.Config) -> list[str]:
    """Print the known failures before the tests."""
    return describe(config.stash[ENTRIES])


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures."""
    entries = {entry.test: entry for entry in config.stash[ENTRIES]}
    for item in items:
        entry = entries.get(item.nodeid)
        if entry is not None:
            reason = f'issue {entry.issue}'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=not entry.is_flaky))


@pytest.hookimpl(trylast=True)
def pytest_sessionfinish(session: pytest.Session) -> None:
    """Fail a run in which a listed test of the files that it runs did not fail."""
    config = session.config
    if hasattr(config, 'workerinput'):
        return
    if _missing(config) and session.exitstatus in {pytest.ExitCode.OK, 0}:
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print which known failures were seen, and which listed tests were not."""
    for test in sorted(config.stash[FAILED_IDS]):
        terminalreporter.write_line(f'known failure: {test}')
    for test in _missing(config):
        terminalreporter.write_line(f'listed in {FILE_NAME}, but it did not fail: {test}')


def _missing(config: pytest.Config) -> list[str]:
    listed = {entry.test for entry in config.stash[ENTRIES] if _is_run(entry, config)}
    return sorted(listed - config.stash[FAILED_IDS])


def _is_run(entry: Entry, config: pytest.Config) -> bool:
    """Return whether a run includes all tests of the file of an entry."""
    if config.option.keyword or config.option.markexpr or config.option.collectonly:
        return False
    if entry.is_flaky:
        # It may have passed.
        return False
    file_name, _, _ = entry.test.partition('::')
    if config.args == config.getini('testpaths'):
        return entry.is_test and file_name not in (config.option.ignore or ())
    return file_name in config.args


if __name__ == '__main__':
    print('\n'.join(describe(_read(pathlib.Path.cwd()))))
