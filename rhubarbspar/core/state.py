"""State of one instance, made up of one part per component."""

import dataclasses

from rhubarbspar.components.admission import models as admission_models
from rhubarbspar.components.claims import models as claims_models
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.idempotency import models as idempotency_models
from rhubarbspar.components.limits import models as limits_models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.rollout import models as rollout_models
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.components.shutdown import models as shutdown_models
from rhubarbspar.components.steering import models as steering_models


@dataclasses.dataclass
class State:
    """State of one instance.

    Each part belongs to the component of the same name. Other components read it.
    """

    membership: membership_models.MembershipState
    admission: admission_models.AdmissionState = dataclasses.field(
        default_factory=admission_models.AdmissionState,
    )
    claims: claims_models.ClaimsState = dataclasses.field(
        default_factory=claims_models.ClaimsState,
    )
    configuration: configuration_models.ConfigurationState = dataclasses.field(
        default_factory=configuration_models.ConfigurationState,
    )
    idempotency: idempotency_models.IdempotencyState = dataclasses.field(
        default_factory=idempotency_models.IdempotencyState,
    )
    limits: limits_models.LimitsState = dataclasses.field(
        default_factory=limits_models.LimitsState,
    )
    rollout: rollout_models.RolloutState = dataclasses.field(
        default_factory=rollout_models.RolloutState,
    )
    routing: routing_models.RoutingState = dataclasses.field(
        default_factory=routing_models.RoutingState,
    )
    shutdown: shutdown_models.ShutdownState = dataclasses.field(
        default_factory=shutdown_models.ShutdownState,
    )
    steering: steering_models.SteeringState = dataclasses.field(
        default_factory=steering_models.SteeringState,
    )
