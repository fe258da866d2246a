"""``apply``: write the configuration generated from an answers file."""

import argparse

from rhubarbspar.operators import changes
from rhubarbspar.operators import const
from rhubarbspar.operators import errors
from rhubarbspar.operators.commands import arguments
from rhubarbspar.operators.commands import environment as environments
from rhubarbspar.operators.commands import planning
from rhubarbspar.operators.commands import writing


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    arguments.add_answers(parser)
    arguments.add_settings(parser)
    parser.add_argument(
        '--revision',
        type=int,
        required=True,
        metavar='NUMBER',
        help='revision that plan showed (0 before the first); a newer one is not overwritten',
    )


def run(parsed: argparse.Namespace, environment: environments.Environment) -> int:
    """Write the configuration generated from the answers.

    Raises
    ------
    errors.ConflictError
        If the store has another revision than the plan and the answers would change it.
    """
    planned = planning.plan(environment, parsed.answers)
    revision = planned.base.revision
    environment.write_lines(planned.notes)
    if not planned.difference:
        environment.write_line(f'revision {revision} has these answers already')
        return const.EXIT_DONE
    if revision != parsed.revision:
        raise errors.ConflictError(_describe_conflict(parsed.revision, planned))
    environment.write_lines(planned.difference)
    writing.write(environment, changes.Change(planned.base, planned.configuration, 'apply'))
    return const.EXIT_DONE


def _describe_conflict(planned_revision: int, planned: planning.Plan) -> str:
    revision = planned.base.revision
    return '\n'.join(
        (
            f'store has revision {revision}, the plan is for {planned_revision}; '
            'nothing was written',
            f'the answers would change revision {revision} by:',
            *planned.difference,
        ),
    )
