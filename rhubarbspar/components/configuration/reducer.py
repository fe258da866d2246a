"""Keep the highest revision of the configuration and track how current it is.

One instance in each failure domain watches the store's record; the others learn of a revision and
its confirmation from heartbeats. Instances in the store's failure domain attest outages of the
store, so that access keys stay usable while it is down.
"""

from rhubarbspar.components.configuration import freshness
from rhubarbspar.components.configuration import models
from rhubarbspar.components.configuration import offers
from rhubarbspar.components.configuration import revisions
from rhubarbspar.components.configuration import watcher
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.core import effects
from rhubarbspar.core import events
from rhubarbspar.core import state as core_state


def reduce(state: core_state.State, event: events.Event, now_ms: float) -> list[effects.Effect]:
    """Return the effects of one event on the configuration and its freshness."""
    config_state = state.configuration
    freshness.detect_pause(config_state.calls, now_ms)
    match event:
        case events.Tick():
            return watcher.tick(state, now_ms)
        case events.StoreAnswered():
            return watcher.apply_answer(state, event, now_ms)
        case events.StoreChanged():
            return watcher.apply_change(state, event, now_ms)
        case events.MessageReceived(peer_id, models.ConfigurationOffer() as message):
            return offers.apply_offer(config_state, peer_id, message, now_ms)
        case events.MessageReceived(peer_id, models.ConfigurationRequest() as request):
            return offers.answer_request(config_state, peer_id, request, now_ms)
        case models.ConfigurationPushed():
            return offers.apply_push(config_state, event, now_ms)
        case events.PeerDisconnected(peer_id):
            offers.forget_peer(config_state, peer_id)
    return []


def apply_heartbeat(
    state: core_state.State,
    peer_id: str,
    heartbeat: membership_models.Heartbeat,
    now_ms: float,
) -> list[effects.Effect]:
    """Update freshness from a peer's heartbeat, and request its document if it is newer."""
    freshness.detect_pause(state.configuration.calls, now_ms)
    freshness.apply_heartbeat(state.configuration, heartbeat, now_ms)
    return offers.request_document(state, peer_id, heartbeat, now_ms)


def adopt(state: core_state.State, configuration: models.Configuration, document: bytes) -> bool:
    """Adopt a configuration; return False if the current revision is not lower.

    The configuration does not count as fresh until ``confirmed_ms`` is set.
    """
    return revisions.adopt(state.configuration, configuration, document)


def keys_usable(state: core_state.State, now_ms: float) -> bool:
    """Return whether the access keys are fresh enough for routes that need a key."""
    return freshness.keys_usable(state.configuration, now_ms)


def store_known_down(state: core_state.State, now_ms: float) -> bool:
    """Return whether a fresh attestation says that the store is down."""
    return freshness.store_known_down(state.configuration, now_ms)


def is_watcher(state: core_state.State, now_ms: float) -> bool:
    """Return whether this instance watches the configuration for its failure domain."""
    return watcher.is_watcher(state, now_ms)
