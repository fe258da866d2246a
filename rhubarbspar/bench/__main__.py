"""Run the benchmarks; the command behind ``script/bench``."""

import argparse
import sys
import types
import typing

import loguru

from rhubarbspar.bench import cost
from rhubarbspar.bench import deployment
from rhubarbspar.bench import entry
from rhubarbspar.bench import fault_classes
from rhubarbspar.bench import gateway
from rhubarbspar.bench import home_failure
from rhubarbspar.bench import measures
from rhubarbspar.bench import models
from rhubarbspar.bench import policy
from rhubarbspar.bench import report
from rhubarbspar.bench import rollouts
from rhubarbspar.bench import slopes

DEFAULT_SEED: typing.Final = 1
CHOOSING: typing.Final = ('measures', 'measures_half')
GROUPS: typing.Final = types.MappingProxyType(
    {
        'lookups': cost.lookups,
        'requests': cost.requests,
        'blocks': cost.blocks,
        'heartbeats': cost.heartbeats,
        'instances': slopes.instances,
        'accounts': slopes.accounts,
        'servers': slopes.servers,
        'domains': slopes.domains,
        'changes': slopes.changes,
        'memory': slopes.memory,
        'entry': entry.figures,
        'gateway': gateway.gateway,
        'refusals': policy.refusals,
        'owner_refusals': policy.owner_refusals,
        'worst_served': policy.worst_served,
        'rollouts': rollouts.rollouts,
        'measures': measures.measures,
        'measures_half': measures.measures_half,
        'home_failure': home_failure.home_failure,
    }
)


def main(arguments: list[str], output: typing.TextIO, progress: typing.TextIO) -> int:
    """Run one group or all; return the exit code."""
    chosen = _parse(arguments)
    names = [chosen.only] if chosen.only else list(GROUPS)
    given = _options(chosen)
    figures: list[models.Figure] = []
    for number, name in enumerate(names, 1):
        total = len(names)
        progress.write(f'[{number}/{total}] {name} seed={chosen.seed}\n')
        progress.flush()
        for figure in GROUPS[name](chosen.seed, **given):
            report.write_line(figure, output)
            figures.append(figure)
    report.write_table(figures, output)
    return 0


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='script/bench')
    parser.add_argument('--only', choices=tuple(GROUPS), help='run one group of figures')
    parser.add_argument('--seed', type=int, default=DEFAULT_SEED)
    parser.add_argument('--deployment', choices=deployment.DEPLOYMENTS, help='of measures')
    parser.add_argument('--fault', choices=tuple(fault_classes.FAULT_CLASSES), help='of measures')
    chosen = parser.parse_args(arguments)
    if (chosen.deployment or chosen.fault) and chosen.only not in CHOOSING:
        parser.error('--deployment and --fault need --only measures or measures_half')
    return chosen


def _options(chosen: argparse.Namespace) -> dict[str, str]:
    options = {'name': chosen.deployment, 'fault': chosen.fault}
    return {name: text for name, text in options.items() if text}


if __name__ == '__main__':
    loguru.logger.remove()
    sys.exit(main(sys.argv[1:], sys.stdout, sys.stderr))
