"""External dependencies of the commands: store, instances, clock and output."""

import dataclasses
from collections import abc

from rhubarbspar.operators import fleet
from rhubarbspar.operators import store


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """External dependencies that are passed to a command.

    Attributes
    ----------
    store
        Client of the platform's store.
    fleet
        Client of the instances.
    now_unix_s
        Returns the current time in seconds of Unix time.
    pause
        Sleeps for a number of seconds.
    write_line
        Prints one line of output.
    """

    store: store.Store
    fleet: fleet.Fleet
    now_unix_s: abc.Callable[[], float]
    pause: abc.Callable[[float], None]
    write_line: abc.Callable[[str], None]

    def write_lines(self, lines: list[str]) -> None:
        """Print each line in order."""
        for line in lines:
            self.write_line(line)
