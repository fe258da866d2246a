"""Exchange of configuration documents between instances, and revisions that operators push."""

import math

from rhubarbspar import const as package_const
from rhubarbspar.components.configuration import const
from rhubarbspar.components.configuration import document as documents
from rhubarbspar.components.configuration import errors
from rhubarbspar.components.configuration import freshness
from rhubarbspar.components.configuration import models
from rhubarbspar.components.configuration import revisions
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.core import effects
from rhubarbspar.core import state as core_state


def request_document(
    state: core_state.State,
    peer_id: str,
    heartbeat: membership_models.Heartbeat,
    now_ms: float,
) -> list[effects.Effect]:
    """Request the document of a peer with a higher revision, from one peer at a time.

    When every peer with a higher revision sent its document unasked, 16 instances received 107
    copies of one document.
    """
    config_state = state.configuration
    revision = config_state.current.revision if config_state.current else 0
    if heartbeat.revision <= revision:
        return []
    if now_ms - config_state.last_request.sent_ms < const.REQUEST_TIMEOUT_MS:
        return []
    if peer_id == config_state.last_request.peer_id and _other_is_ahead(
        state, peer_id, revision, now_ms
    ):
        return []
    config_state.last_request = models.SentRequest(peer_id, now_ms)
    message = models.ConfigurationRequest(float(math.floor(now_ms)), revision)
    return [effects.SendMessage(peer_id, message)]


def _other_is_ahead(
    state: core_state.State,
    peer_id: str,
    revision: int,
    now_ms: float,
) -> bool:
    """Return whether another connected live peer has a higher revision."""
    return any(
        peer.known.instance_id != peer_id and peer.connected and peer.revision > revision
        for peer in membership_reducer.live_peers(state, now_ms)
    )


def answer_request(
    config_state: models.ConfigurationState,
    peer_id: str,
    message: models.ConfigurationRequest,
    now_ms: float,
) -> list[effects.Effect]:
    """Send the current document to a peer that requested it.

    The same revision is sent to a peer at most once per ``OFFER_INTERVAL_MS``.
    """
    if config_state.current is None or message.revision >= config_state.current.revision:
        return []
    last_offer = config_state.offers.get(peer_id)
    if last_offer is not None and last_offer.revision == config_state.current.revision:
        if now_ms - last_offer.sent_ms < const.OFFER_INTERVAL_MS:
            return []
    config_state.offers[peer_id] = models.SentOffer(config_state.current.revision, now_ms)
    is_confirmed = math.isfinite(config_state.confirmed_ms)
    answer = models.ConfigurationOffer(
        revision=config_state.current.revision,
        document=config_state.document,
        echo_sent_ms=message.sent_ms,
        confirmed_age_ms=now_ms - config_state.confirmed_ms if is_confirmed else None,
    )
    return [effects.SendMessage(peer_id, answer)]


def forget_peer(config_state: models.ConfigurationState, peer_id: str) -> None:
    """Forget what was sent over a connection that ended, so that another peer is asked at once."""
    config_state.offers.pop(peer_id, None)
    if config_state.last_request.peer_id == peer_id:
        config_state.last_request = models.SentRequest()


def apply_offer(
    config_state: models.ConfigurationState,
    peer_id: str,
    message: models.ConfigurationOffer,
    now_ms: float,
) -> list[effects.Effect]:
    """Adopt a peer's configuration if its revision is higher, and take over its confirmation."""
    outputs = _adopt_document(config_state, message.revision, message.document, now_ms, peer_id)
    if config_state.current is not None and config_state.current.revision >= message.revision:
        # The request is answered, so that the next revision can be requested at once.
        config_state.last_request = models.SentRequest()
    if config_state.current is not None and config_state.current.revision == message.revision:
        confirmed_ms = freshness.observed_at_ms(
            message.echo_sent_ms, message.confirmed_age_ms, now_ms
        )
        config_state.confirmed_ms = max(config_state.confirmed_ms, confirmed_ms)
    return outputs


def apply_push(
    config_state: models.ConfigurationState,
    event: models.ConfigurationPushed,
    now_ms: float,
) -> list[effects.Effect]:
    """Adopt a pushed revision if it is higher, and keep the last confirmation.

    The store accepted the push after this instance's revision had been confirmed. The pushed
    revision was therefore the store's at the time of that confirmation or later.
    """
    confirmed_ms = config_state.confirmed_ms
    outputs = _adopt_document(config_state, event.revision, event.document, now_ms, '')
    config_state.confirmed_ms = max(config_state.confirmed_ms, confirmed_ms)
    return outputs


def _adopt_document(
    config_state: models.ConfigurationState,
    revision: int,
    document: bytes,
    now_ms: float,
    peer_id: str,
) -> list[effects.Effect]:
    """Parse and adopt a document if its revision is higher; report a malformed one.

    If this instance reads the store, its next tick does so, to confirm the adopted revision.
    """
    current_revision = config_state.current.revision if config_state.current else 0
    if revision <= current_revision:
        return []
    try:
        configuration = documents.parse(document, revision)
    except errors.DocumentError:
        return [
            effects.Count(package_const.METRIC_EVENTS, const.REASON_OFFER_MALFORMED),
            effects.Log(
                const.REASON_OFFER_MALFORMED,
                (('peer_id', peer_id), ('revision', revision)),
            ),
        ]
    config_state.calls.read_sent_ms = float('-inf')
    return revisions.adopt_and_log(config_state, configuration, document, now_ms)
