"""State of the steering component."""

import dataclasses

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.helpers import block_map


@dataclasses.dataclass
class SteeringState:
    """Client block map compiled from the configuration, and the validity of lookup answers.

    Attributes
    ----------
    revision
        Configuration revision that the map was last checked against.
    regions
        Names of the regions; the map holds their indexes in this tuple.
    compiled_blocks
        Client blocks that the map was compiled from.
    blocks
        Map from client addresses to indexes of regions.
    lookup_ttl_ms
        Time for which a caller may use the answer to a lookup.
    """

    revision: int = -1
    regions: tuple[str, ...] = ()
    compiled_blocks: tuple[configuration_models.ClientBlock, ...] = ()
    blocks: block_map.BlockMap = dataclasses.field(default_factory=block_map.BlockMap)
    lookup_ttl_ms: int = 2000
