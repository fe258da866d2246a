"""Configurations that instances offer to each other and operators push."""

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
    """Ask a peer with a higher revision for its document, one peer at a time.

    When all peers that were ahead offered the document, 16 instances got 107 copies of it.
    """
    own = state.configuration
    revision = own.current.revision if own.current else 0
    if heartbeat.revision <= revision:
        return []
    if now_ms - own.last_request.sent_ms < const.REQUEST_TIMEOUT_MS:
        return []
    if peer_id == own.last_request.peer_id and _other_is_ahead(state, peer_id, revision, now_ms):
        return []
    own.last_request = models.SentRequest(peer_id, now_ms)
    message = models.ConfigurationRequest(float(math.floor(now_ms)), revision)
    return [effects.SendMessage(peer_id, message)]


def _other_is_ahead(
    state: core_state.State,
    peer_id: str,
    revision: int,
    now_ms: float,
) -> bool:
    return any(
        peer.known.instance_id != peer_id and peer.connected and peer.revision > revision
        for peer in membership_reducer.live_peers(state, now_ms)
    )


def answer_request(
    own: models.ConfigurationState,
    peer_id: str,
    message: models.ConfigurationRequest,
    now_ms: float,
) -> list[effects.Effect]:
    """Answer a request with the document in force, not more often than needed."""
    if own.current is None or message.revision >= own.current.revision:
        return []
    sent = own.offers.get(peer_id)
    if sent is not None and sent.revision == own.current.revision:
        if now_ms - sent.sent_ms < const.OFFER_INTERVAL_MS:
            return []
    own.offers[peer_id] = models.SentOffer(own.current.revision, now_ms)
    confirmed = math.isfinite(own.confirmed_ms)
    answer = models.ConfigurationOffer(
        revision=own.current.revision,
        document=own.document,
        echo_sent_ms=message.sent_ms,
        confirmed_age_ms=now_ms - own.confirmed_ms if confirmed else None,
    )
    return [effects.SendMessage(peer_id, answer)]


def forget_peer(own: models.ConfigurationState, peer_id: str) -> None:
    """Forget what went over a connection that has ended; another peer can be asked at once."""
    own.offers.pop(peer_id, None)
    if own.last_request.peer_id == peer_id:
        own.last_request = models.SentRequest()


def apply_offer(
    own: models.ConfigurationState,
    peer_id: str,
    message: models.ConfigurationOffer,
    now_ms: float,
) -> list[effects.Effect]:
    """Put a peer's configuration in force if its revision is higher."""
    outputs = _adopt_document(own, message.revision, message.document, now_ms, peer_id)
    if own.current is not None and own.current.revision >= message.revision:
        # The next revision is asked for at once.
        own.last_request = models.SentRequest()
    if own.current is not None and own.current.revision == message.revision:
        confirmed_ms = freshness.observed_at_ms(
            message.echo_sent_ms, message.confirmed_age_ms, now_ms
        )
        own.confirmed_ms = max(own.confirmed_ms, confirmed_ms)
    return outputs


def apply_push(
    own: models.ConfigurationState,
    event: models.ConfigurationPushed,
    now_ms: float,
) -> list[effects.Effect]:
    """Put a pushed revision in force.

    The store accepted it after the revision in force had been confirmed, so that it was the store's
    at that moment or later: the confirmation stays.
    """
    confirmed_ms = own.confirmed_ms
    outputs = _adopt_document(own, event.revision, event.document, now_ms, '')
    own.confirmed_ms = max(own.confirmed_ms, confirmed_ms)
    return outputs


def _adopt_document(
    own: models.ConfigurationState,
    revision: int,
    document: bytes,
    now_ms: float,
    peer_id: str,
) -> list[effects.Effect]:
    current_revision = own.current.revision if own.current else 0
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
    own.calls.read_sent_ms = float('-inf')
    return revisions.adopt_and_log(own, configuration, document, now_ms)
