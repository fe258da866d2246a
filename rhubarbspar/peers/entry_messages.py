"""List of the modules that define the messages between entry instances."""

import typing

from rhubarbspar.components.admission import models as admission_models
from rhubarbspar.components.claims import models as claims_models
from rhubarbspar.components.configuration import models as configuration_models
from rhubarbspar.components.idempotency import models as idempotency_models
from rhubarbspar.components.limits import models as limits_models
from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.rollout import models as rollout_models
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.components.steering import models as steering_models

MODULES: typing.Final = (
    admission_models,
    claims_models,
    configuration_models,
    idempotency_models,
    limits_models,
    membership_models,
    rollout_models,
    routing_models,
    steering_models,
)
