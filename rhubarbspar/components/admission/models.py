"""Data of the admission component: requests that wait for their outcome."""

import dataclasses

from rhubarbspar.core import models


@dataclasses.dataclass
class PendingRequest:
    """A request that has not been answered.

    Attributes
    ----------
    request
        The request as received.
    account_id
        Client account of its access key, or empty on a route that needs no key.
    path_prefix
        Path prefix of its route.
    idempotent
        Whether its route allows a request to run again.
    recorded
        Whether this instance has recorded its idempotency key and has to record its outcome.
    waits_for_token
        Whether it waits for a rate limit token.
    origin_peer_id, forward_id
        Set if a peer relayed the request because its idempotency key names this instance.
    cancelled
        Whether its caller has disconnected.
    """

    request: models.Request
    account_id: str = ''
    path_prefix: str = ''
    idempotent: bool = True
    recorded: bool = False
    waits_for_token: bool = False
    origin_peer_id: str = ''
    forward_id: str = ''
    cancelled: bool = False


@dataclasses.dataclass
class AdmissionState:
    """Requests from callers and peers that have not been answered, by request id."""

    pending: dict[str, PendingRequest] = dataclasses.field(default_factory=dict)
