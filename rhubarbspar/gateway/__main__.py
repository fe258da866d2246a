"""Run a gateway with ``python -m rhubarbspar.gateway SETTINGS``.

This imports none of the operators' commands.
"""

import signal

# Until the daemon handles SIGHUP, the signal would end the process, and the imports below take much
# of the start. From the end of the start on, the daemon compares the settings with the file.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import argparse
import os
import sys

from rhubarbspar import exceptions
from rhubarbspar.gateway import daemon

# File descriptors that the process may use.
_ENV_DESCRIPTORS = 'GATEWAY_DESCRIPTORS'
# Memory that the process may use, megabytes.
_ENV_MEMORY_MB = 'GATEWAY_MEMORY_MB'
_EXIT_BAD_INPUT = 2


def main() -> int:
    """Run a gateway until its planned stop; return 2 if the settings are invalid, otherwise 0."""
    parser = argparse.ArgumentParser(prog='rhubarbspar.gateway', description='Run a gateway.')
    parser.add_argument('settings', metavar='FILE', help='gateway settings')
    descriptor_count = os.environ.get(_ENV_DESCRIPTORS, '')
    memory_mb = os.environ.get(_ENV_MEMORY_MB, '')
    try:
        return daemon.run(parser.parse_args().settings, memory_mb, descriptor_count)
    except exceptions.RhubarbsparError as error:
        sys.stderr.write(f'rhubarbspar: {error}\n')
        return _EXIT_BAD_INPUT


sys.exit(main())
