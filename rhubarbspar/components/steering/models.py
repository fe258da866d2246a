"""State of the look-ups."""

import dataclasses

from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.helpers import block_map


@dataclasses.dataclass
class SteeringState:
    """Compiled client block map.

    Attributes
    ----------
    revision
        Revision that the map was last compared with.
    regions
        Names of the regions; the map holds positions in this tuple.
    source
        The blocks that the map was compiled from.
    """

    revision: int = -1
    regions: tuple[str, ...] = ()
    compiled_blocks: tuple[configuration_models.ClientBlock, ...] = ()
    blocks: block_map.BlockMap = dataclasses.field(default_factory=block_map.BlockMap)
    lookup_ttl_ms: int = 2000
