"""Runs a stand-in as a plain process."""

import argparse
import sys
import typing
from collections import abc

from twisted.internet import asyncioreactor


def parser(name: str) -> argparse.ArgumentParser:
    """Return a command line parser with the option that every stand-in has."""
    made = argparse.ArgumentParser(prog=f'python -m rhubarbspar.standins.{name}')
    made.add_argument('--port', type=int, default=0)
    return made


def run(start: abc.Callable[[typing.Any], int]) -> None:
    """Install the reactor, print the port that ``start`` returns and run until a signal."""
    install: abc.Callable[[], None] = asyncioreactor.install
    install()
    from twisted.internet import reactor  # noqa: PLC0415

    running: typing.Any = reactor
    running.callWhenRunning(lambda: _announce(start(running)))
    running.run()


def _announce(port: int) -> None:
    sys.stdout.write(f'listening port={port}\n')
    sys.stdout.flush()
