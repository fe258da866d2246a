"""What servers say in their responses about the requests that they want.

A server that is leaving gets none any more. One that turns a request away may name a time for which
it wants none of this instance; others may have been answered differently, so they are not told.
"""

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import state as gateway_state
from rhubarbspar.gateway.routing import servers


def record(
    state: gateway_state.State,
    view: servers.ServerView,
    ended: events.AttemptEnded,
    now_ms: float,
) -> list[core_effects.Effect]:
    """Record what the response of an attempt says about its server; log what is new."""
    server_id = view.server.server_id
    outputs: list[core_effects.Effect] = []
    if ended.leaving and state.servers.mark_leaving(view):
        outputs.append(core_effects.Log('server_leaving', (('server', server_id),)))
    if ended.retry_after_ms is None:
        return outputs
    # Responses overtake each other, so that a shorter time may be the older one.
    until_ms = max(view.turned_away_until_ms, now_ms + ended.retry_after_ms)
    if now_ms >= view.turned_away_until_ms:
        fields = (('server', server_id), ('retry_after_ms', round(ended.retry_after_ms)))
        outputs.append(core_effects.Log('server_turned_away', fields))
    view.turned_away_until_ms = until_ms
    return outputs
