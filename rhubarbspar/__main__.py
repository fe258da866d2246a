"""Run the command line with ``python -m rhubarbspar``."""

import sys

from rhubarbspar import cli

sys.exit(cli.main())
