"""Base class of the messages that instances send to each other."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base of the messages between instances.

    Each component declares its messages in its ``models`` module. A message can be sent only if it
    is listed in ``rhubarbspar.peers.registry``.
    """
