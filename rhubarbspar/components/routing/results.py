"""Return outcomes to this instance's own requests or to the peers that forwarded them."""

import dataclasses

from rhubarbspar import const as package_const
from rhubarbspar.components.limits import reducer as limits_reducer
from rhubarbspar.components.membership import reducer as membership_reducer
from rhubarbspar.components.routing import const
from rhubarbspar.components.routing import models
from rhubarbspar.core import effects
from rhubarbspar.core import models as core_models
from rhubarbspar.core import state as core_state

_BITS_PER_BYTE = 8


def refuse_not_run(
    state: core_state.State,
    routed: models.RoutedRequest,
    reason: str,
) -> list[effects.Effect]:
    """Refuse a request that no backend server has received."""
    retry_after_ms = None
    if reason == package_const.REASON_FULL:
        retry_after_ms = float(const.RETRY_AFTER_FULL_MS)
    refused = core_models.Refused(reason, core_models.ExecutionStatus.NOT_RUN, retry_after_ms)
    return finish(state, routed, refused)


def finish(
    state: core_state.State,
    routed: models.RoutedRequest,
    outcome: core_models.Outcome,
) -> list[effects.Effect]:
    """Return the outcome of a request to this instance or to the peer that forwarded it."""
    outcome = correct_execution_status(routed, outcome)
    if not routed.origin_peer_id:
        return [effects.Emit(models.LocalRunEnded(routed, outcome))]
    answer = to_answer(routed.forward_id, outcome)
    state.routing.delayed_answers.append(
        models.DelayedAnswer(routed.origin_peer_id, answer, routed.request.deadline_ms),
    )
    return [effects.Emit(models.ForwardAnswersReady())]


def correct_execution_status(
    routed: models.RoutedRequest, outcome: core_models.Outcome
) -> core_models.Outcome:
    """Turn "not run" into unknown in a refusal if an earlier attempt may have run."""
    match outcome:
        case core_models.Refused(run=core_models.ExecutionStatus.NOT_RUN) if routed.may_have_run:
            return dataclasses.replace(outcome, run=core_models.ExecutionStatus.UNKNOWN)
        case _:
            return outcome


def send_delayed(state: core_state.State, now_ms: float) -> list[effects.Effect]:
    """Send delayed answers as far as the region links have bandwidth, in order for each link.

    An answer past its deadline is replaced by a refusal with unknown outcome, because its caller no
    longer waits for the body.
    """
    outputs: list[effects.Effect] = []
    waiting: list[models.DelayedAnswer] = []
    blocked: set[str] = set()
    for delayed in state.routing.delayed_answers:
        region = _region_of(state, delayed.peer_id)
        if region in blocked or not _take_answer_budget(state, delayed, now_ms):
            blocked.add(region)
            waiting.append(delayed)
            continue
        outputs.append(effects.SendMessage(delayed.peer_id, delayed.answer))
    state.routing.delayed_answers = [kept for kept in waiting if kept.deadline_ms > now_ms]
    outputs.extend(
        effects.SendMessage(dropped.peer_id, _deadline_answer(dropped))
        for dropped in waiting
        if dropped.deadline_ms <= now_ms
    )
    return outputs


def to_answer(forward_id: str, outcome: core_models.Outcome) -> models.ForwardAnswer:
    """Convert an outcome to a message."""
    match outcome:
        case core_models.Answered(response):
            return models.ForwardAnswer(
                forward_id,
                response.status,
                response.headers,
                response.body,
            )
        case core_models.Refused(reason, run, retry_after_ms):
            return models.ForwardAnswer(
                forward_id,
                reason=reason,
                run=run.value,
                retry_after_ms=retry_after_ms,
            )


def from_answer(answer: models.ForwardAnswer) -> core_models.Outcome:
    """Convert a message to an outcome."""
    if answer.status is not None:
        return core_models.Answered(
            core_models.Response(answer.status, answer.headers, answer.body),
        )
    run = core_models.ExecutionStatus.UNKNOWN
    if answer.run == core_models.ExecutionStatus.NOT_RUN:
        run = core_models.ExecutionStatus.NOT_RUN
    return core_models.Refused(answer.reason, run, answer.retry_after_ms)


def take_link_budget(state: core_state.State, peer_id: str, size_bytes: int, now_ms: float) -> bool:
    """Take bandwidth for a message to a peer; messages within a region need none."""
    own_region = _region_of(state, state.membership.own.instance_id)
    target_region = _region_of(state, peer_id)
    if own_region == target_region:
        return True
    return limits_reducer.take_link_bits(
        state,
        own_region,
        target_region,
        size_bytes * _BITS_PER_BYTE,
        now_ms,
    )


def message_bytes(headers: core_models.Headers, body: bytes) -> int:
    """Estimate the size of a message with these headers and body, bytes."""
    overhead_bytes = 512
    return overhead_bytes + len(body) + sum(len(name) + len(text) for name, text in headers)


def _region_of(state: core_state.State, instance_id: str) -> str:
    return membership_reducer.region_of(state, instance_id) or ''


def _take_answer_budget(
    state: core_state.State, delayed: models.DelayedAnswer, now_ms: float
) -> bool:
    answer = delayed.answer
    if answer.status is None:
        return True
    size_bytes = message_bytes(answer.headers, answer.body)
    return take_link_budget(state, delayed.peer_id, size_bytes, now_ms)


def _deadline_answer(delayed: models.DelayedAnswer) -> models.ForwardAnswer:
    refused = core_models.Refused(
        package_const.REASON_DEADLINE_EXCEEDED,
        core_models.ExecutionStatus.UNKNOWN,
    )
    return to_answer(delayed.answer.forward_id, refused)
