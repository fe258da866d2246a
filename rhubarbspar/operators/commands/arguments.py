"""Command-line arguments shared by several commands."""

import argparse
import datetime

import voluptuous

from rhubarbspar.operators import const
from rhubarbspar.operators import errors
from rhubarbspar.operators import questionnaire


def add_answers(parser: argparse.ArgumentParser) -> None:
    """Add the positional argument for the answers file."""
    parser.add_argument('answers', metavar='ANSWERS', help='answers file (JSON with comments)')


def add_settings(parser: argparse.ArgumentParser) -> None:
    """Add the option for the operator's settings file."""
    parser.add_argument(
        '--settings',
        default=const.DEFAULT_SETTINGS_FILE,
        metavar='FILE',
        help='operator settings: store, list of instances, key (default: %(default)s)',
    )


def add_move(parser: argparse.ArgumentParser) -> None:
    """Add the options for the deadline of a move and the cap on its steps."""
    parser.add_argument(
        '--deadline',
        type=parse_deadline,
        metavar='TIME',
        help='time by which the move must be done, such as 2027-03-31T18:00:00+05:00',
    )
    parser.add_argument(
        '--cap-share',
        type=parse_share,
        default=const.DEFAULT_CAP_SHARE,
        metavar='SHARE',
        help='largest share of the requests that one step shifts (default: %(default)s)',
    )


def parse_deadline(text: str) -> datetime.datetime:
    """Parse an ISO 8601 time with a UTC offset."""
    try:
        return questionnaire.instant(text)
    except voluptuous.Invalid as error:
        raise argparse.ArgumentTypeError(error.error_message) from error


def parse_share(text: str) -> float:
    """Parse a share in (0, 1]."""
    try:
        return questionnaire.share(float(text))
    except (ValueError, voluptuous.Invalid) as error:
        raise argparse.ArgumentTypeError('expected a share above 0 and at most 1') from error


def check_deadline(deadline: datetime.datetime | None, now_unix_s: float) -> float:
    """Validate a deadline and return it in seconds of Unix time.

    Raises
    ------
    errors.InputError
        If the deadline is missing or not in the future.
    """
    if deadline is None:
        raise errors.InputError('--deadline is required')
    if deadline.timestamp() <= now_unix_s:
        raise errors.InputError('deadline is in the past')
    return deadline.timestamp()
