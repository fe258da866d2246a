"""Exchange of the results of versions with the peers.

Pattern: cumulative counters by origin. In a tree, a relay reports the sums of itself and its children.
"""

from rhubarbspar.gateway import messages
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.membership import fleet


def apply_report(
    state: gateway_state.State, peer: fleet.Peer, heartbeat: messages.Heartbeat
) -> None:
    """Apply the results of versions that a peer reports, and keep those from before its restart.

    In a tree, the children of a relay that restarts report their results to its successor.
    """
    evidence = state.rollouts.evidence
    peer_id = peer.member.instance_id
    if _speaks_for_itself(state, peer) and evidence.is_other_incarnation(
        peer_id, heartbeat.incarnation
    ):
        evidence.retire_peer(peer_id)
    if peer.relation == fleet.Relation.PARENT:
        # The sums of a former relay are part of those of the present one.
        evidence.peers.clear()
    evidence.apply_report(peer_id, heartbeat.incarnation, heartbeat.versions)


def retire_silent(state: gateway_state.State, now_ms: float) -> None:
    """Keep the results of silent peers, unless another peer speaks for them."""
    evidence = state.rollouts.evidence
    for peer_id in tuple(evidence.peers):
        peer = state.fleet.peers.get(peer_id)
        if peer is not None and peer.is_heard(now_ms):
            continue
        if _speaks_for_itself(state, peer):
            evidence.retire_peer(peer_id)
        else:
            evidence.forget_peer(peer_id)


def forget_moved(state: gateway_state.State, now_ms: float) -> None:
    """Remove the kept results of processes that report to another relay now."""
    for peer_id, peer in state.fleet.peers.items():
        if not peer.is_heard(now_ms) and peer.is_live(now_ms):
            state.rollouts.evidence.forget_former(peer_id, peer.member.incarnation)


def results_for(
    state: gateway_state.State, relation: fleet.Relation, child_id: str
) -> tuple[messages.VersionResults, ...]:
    """Return the results of versions that a peer with a relation lacks."""
    match relation:
        case fleet.Relation.NONE:
            return ()
        case fleet.Relation.CHILD:
            peer_ids = state.rollouts.evidence.peers.keys() - {child_id}
            return state.rollouts.report_with(peer_ids, with_former=True)
        case _:
            child_ids = state.fleet.related_peers(fleet.Relation.CHILD)
            # In a mesh, every instance keeps the results of those that have ended itself.
            return state.rollouts.report_with(child_ids, with_former=not state.fleet.is_mesh)


def _speaks_for_itself(state: gateway_state.State, peer: fleet.Peer | None) -> bool:
    """Return whether the results that a peer reports are those of itself alone."""
    if state.fleet.is_mesh:
        return True
    return peer is not None and peer.relation == fleet.Relation.CHILD
