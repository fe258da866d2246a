"""The promises, judged by what callers, backend servers and the operator have seen."""

import collections

from tests.soak import models

_NOT_RUN = frozenset((408, 421, 429, 503))
_DENIED = frozenset((400, 401, 403, 404, 413, 431))
SERVED_MIN = 0.95
SERVED_SPAN_S = 2.0


def violations(ledger, ended_s):
    """Return a line for each broken promise."""
    runs = collections.defaultdict(list)
    for run in ledger.runs:
        runs[run.attempt_id].append(run)
    found = []
    for sent in ledger.sent.values():
        found.extend(of_request(ledger, sent, runs[sent.attempt_id]))
        if _is_cut(ledger, sent, runs[sent.attempt_id]):
            found.append(
                f'LOST: {sent.attempt_id} was cut by the planned stop of instance {sent.instance}'
            )
    found.extend(of_runs(ledger, runs))
    found.extend(of_stops(ledger))
    found.extend(_of_recovery(ledger, ended_s))
    return found


def of_request(ledger, sent, runs):
    """Return the broken promises to the caller of a request."""
    if len(runs) > 1 and not sent.idempotent:
        yield f'TWICE: {sent.attempt_id} ran {len(runs)} times though it is not idempotent'
    if sent.status in _NOT_RUN and runs:
        yield f'REFUSED: {sent.attempt_id} was refused with {sent.status} as not run, and ran'
    if sent.status == 200 and sent.body != models.answer(sent.attempt_id, sent.path):
        yield f'MIXED: {sent.attempt_id} got {sent.body[:80]!r}'
    if sent.status == 200 and not runs:
        yield f'MIXED: {sent.attempt_id} was answered and never ran'
    revoked_s = ledger.revoked_s.get(sent.key)
    if sent.status in _DENIED and revoked_s is None and not sent.is_probe:
        yield f'DENIED: {sent.attempt_id} was denied with {sent.status} though its key and route hold'
    if revoked_s is not None and runs:
        late_s = runs[0].began_s - revoked_s
        calm = ledger.is_calm(sent.sent_s - models.STABLE_S, runs[0].began_s)
        if sent.sent_s > revoked_s + models.CONFIGURATION_S and calm:
            yield f'CONFIG: {sent.attempt_id} ran {late_s:.1f} s after its key was withdrawn'


def _is_cut(ledger, sent, runs):
    """Return whether a planned stop alone ended a request that a server had begun."""
    if sent.ended_s is None or sent.status or not runs:
        return False
    stopping = any(
        number == sent.instance and began_s <= sent.ended_s <= began_s + models.GRACE_S + 1
        for number, began_s in ledger.stops_s
    )
    return stopping and ledger.is_calm(sent.sent_s - models.STABLE_S, sent.ended_s)


def of_runs(ledger, runs):
    """Return what backend servers should not have got."""
    for attempt_id, known in runs.items():
        if attempt_id not in ledger.sent:
            yield f'UNASKED: {attempt_id} ran and no caller sent it'
            continue
        for run in known:
            if run.key_seen:
                yield f'UNASKED: {attempt_id} showed its key to {run.server_id}'
            if run.account_id != ledger.sent[attempt_id].account_id:
                yield f'UNASKED: {attempt_id} ran for account {run.account_id}'
            left_s = run.began_s - ledger.draining_s.get(run.server_id, run.began_s)
            calm = ledger.is_calm(run.began_s - models.STABLE_S - left_s, run.began_s)
            if left_s > models.DRAIN_S and calm:
                yield (
                    f'DRAIN: {attempt_id} reached {run.server_id} '
                    f'{left_s:.1f} s after it began to leave'
                )


def of_stops(ledger):
    """Return the processes that have ended by themselves or too late."""
    for end in ledger.exits:
        if end.stopped_s is None:
            yield f'FAULT: instance {end.instance} ended by itself with {end.code}'
        elif end.code and ledger.is_calm(end.stopped_s, end.ended_s, end.instance):
            took_s = end.ended_s - end.stopped_s
            age_s = end.stopped_s - end.started_s
            yield (
                f'FAULT: instance {end.instance} ended with {end.code} after {took_s:.1f} s, '
                f'stopped {age_s:.2f} s after its start'
            )


def _of_recovery(ledger, ended_s):
    begun_s = ended_s - SERVED_SPAN_S
    last = [sent for sent in ledger.sent.values() if sent.sent_s >= begun_s and sent.ended_s]
    owed = [sent for sent in last if sent.key not in ledger.revoked_s]
    served = sum(sent.status == 200 for sent in owed)
    if not owed or served < SERVED_MIN * len(owed):
        yield f'RECOVER: {served} of {len(owed)} requests were served after the faults'
