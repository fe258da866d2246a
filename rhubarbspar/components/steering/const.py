"""Constants of the steering component."""

import typing

LOOKUP_INSTANCES_MAX: typing.Final = 3
