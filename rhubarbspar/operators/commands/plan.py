"""``plan``: print what applying an answers file would change."""

import argparse

from rhubarbspar.operators import const
from rhubarbspar.operators.commands import arguments
from rhubarbspar.operators.commands import environment as environments
from rhubarbspar.operators.commands import planning


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    arguments.add_answers(parser)
    arguments.add_settings(parser)


def run(parsed: argparse.Namespace, environment: environments.Environment) -> int:
    """Print the difference between the stored configuration and the one to write."""
    planned = planning.plan(environment, parsed.answers)
    revision = planned.base.revision
    environment.write_lines(planned.notes)
    if not planned.difference:
        environment.write_line(f'revision {revision} has these answers already')
        return const.EXIT_DONE
    environment.write_line(f'changes to revision {revision}:')
    environment.write_lines(planned.difference)
    environment.write_line(f'to write them: rhubarbspar apply --revision {revision} ...')
    return const.EXIT_DONE
