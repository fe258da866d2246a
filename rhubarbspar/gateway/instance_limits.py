"""What the platform grants an instance, in the variables of its environment."""

import dataclasses
import math
import os
import typing
from collections import abc

# File descriptors that the process may use.
ENV_DESCRIPTORS: typing.Final = 'GATEWAY_DESCRIPTORS'
# Rate of the network link, megabits a second.
ENV_LINK_MBIT_PER_S: typing.Final = 'GATEWAY_LINK_MBIT_PER_S'
# Memory that the process may use, megabytes.
ENV_MEMORY_MB: typing.Final = 'GATEWAY_MEMORY_MB'


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLimits:
    """Limits as texts; empty if they are unknown."""

    memory_mb: str = ''
    descriptor_count: str = ''
    link_mbit_per_s: str = ''

    @property
    def link_rate_mbit_per_s(self) -> int:
        """Return the rate of the link, or 0 if the text is no positive number."""
        try:
            rate = float(self.link_mbit_per_s)
        except ValueError:
            return 0
        return math.ceil(rate) if 0 < rate < math.inf else 0


UNKNOWN: typing.Final = InstanceLimits()


def read(environment: abc.Mapping[str, str] = os.environ) -> InstanceLimits:
    """Return what the variables say."""
    return InstanceLimits(
        environment.get(ENV_MEMORY_MB, ''),
        environment.get(ENV_DESCRIPTORS, ''),
        environment.get(ENV_LINK_MBIT_PER_S, ''),
    )
