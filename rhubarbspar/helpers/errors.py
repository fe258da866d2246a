"""Errors of reading hand-written files such as settings."""

import dataclasses

from rhubarbspar import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One error in a file; ``line`` counts from 1, ``key_path`` is empty for the whole file."""

    file_name: str
    line: int
    key_path: str
    message: str

    def __str__(self) -> str:
        """Format as ``file:line: key.path: message``."""
        location = f'{self.file_name}:{self.line}'
        if self.key_path:
            location = f'{location}: {self.key_path}'
        return f'{location}: {self.message}'


class InvalidFileError(exceptions.RhubarbsparError):
    """A file is invalid; ``problems`` holds every error found, sorted by line."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Keep the problems sorted by line."""
        self.problems = tuple(sorted(problems, key=_sort_key))
        super().__init__('\n'.join(str(problem) for problem in self.problems))


class UnreadableFileError(exceptions.RhubarbsparError):
    """A file cannot be read."""


def _sort_key(problem: Problem) -> tuple[int, str]:
    return problem.line, problem.key_path
