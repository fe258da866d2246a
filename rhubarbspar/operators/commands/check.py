"""``check``: validate an answers file without access to the store."""

import argparse
import time

from rhubarbspar.operators import const
from rhubarbspar.operators import generate
from rhubarbspar.operators import questionnaire
from rhubarbspar.operators.commands import arguments


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command to its parser."""
    arguments.add_answers(parser)


def run(parsed: argparse.Namespace) -> int:
    """Validate the answers and print how many services, servers and accounts they have."""
    completed = questionnaire.load(parsed.answers)
    configuration = generate.generate(completed, time.time())
    servers = sum(len(service.backend_servers) for service in configuration.services.values())
    services = len(configuration.services)
    accounts = len(configuration.client_accounts)
    print(  # noqa: WPS421
        f'{parsed.answers}: {services} services, {servers} backend servers, '
        f'{accounts} client accounts, no faults',
    )
    return const.EXIT_DONE
