"""Run a gateway with ``python -m rhubarbspar.gateway SETTINGS``.

This imports none of the operators' commands.
"""

import sys

from rhubarbspar.gateway import program

sys.exit(program.main())
