"""Messages that every instance gets once, along the tree of relays."""

import itertools

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import messages
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.membership import fleet


def spread(
    state: gateway_state.State, message: messages.GatewayMessage, sender_id: str | None = None
) -> list[core_effects.Effect]:
    """Return the effect that sends a message on along the tree.

    Parameters
    ----------
    sender_id
        Peer from which the message came; ``None`` for a message of this instance.
    """
    sender = state.fleet.peers.get(sender_id or '')
    relations = {fleet.Relation.CHILD}
    if sender_id is None:
        relations |= {fleet.Relation.RELAY, fleet.Relation.PARENT}
    elif sender is not None and sender.relation == fleet.Relation.CHILD:
        relations.add(fleet.Relation.RELAY)
    receivers = itertools.chain.from_iterable(
        state.fleet.related_peers(relation) for relation in sorted(relations, key=repr)
    )
    receiver_ids = tuple(peer_id for peer_id in receivers if peer_id != sender_id)
    return [core_effects.Multicast(receiver_ids, message)] if receiver_ids else []
