"""Attempts of a caller at one request: which instance is next and what is known about the outcome."""

import dataclasses
import json

from rhubarbspar.standins import answers
from rhubarbspar.standins import caller_http
from rhubarbspar.standins import caller_models
from rhubarbspar.standins import const

_Verdict = caller_models.Verdict


@dataclasses.dataclass(slots=True)
class Attempts:
    """One request with all its attempts.

    Attributes
    ----------
    crashes
        The request crashes the backend server that runs it.
    count
        Attempts so far.
    """

    token: str
    method: str
    crashes: bool = False
    count: int = 0
    _idempotency_key: str = ''
    _last: caller_models.Result = caller_models.Result(_Verdict.REFUSED, const.REASON_NO_LOOKUP)
    _may_have_run: bool = False
    _tried_ids: set[str] = dataclasses.field(default_factory=set)

    def choose(self, lookup: caller_models.Lookup) -> str:
        """Return the URL of the most preferred instance that has not been tried.

        While nothing may have run, the idempotency key follows the look-up; from then on every
        repeat has the same key.
        """
        if not self._may_have_run:
            self._idempotency_key = f'{lookup.idempotency_key_prefix}.{self.token}'
        untried = [
            instance for instance in lookup.instances if instance.instance_id not in self._tried_ids
        ]
        chosen = (untried or lookup.instances)[0]
        self._tried_ids.add(chosen.instance_id)
        return chosen.url

    def headers(self) -> dict[str, str]:
        """Return the headers that depend on the request."""
        fields = {}
        if self.method == const.METHOD_POST:
            fields[const.HEADER_IDEMPOTENCY_KEY] = self._idempotency_key
        if self.crashes:
            fields[const.HEADER_FAULT] = const.FAULT_CRASH
        return fields

    def add(self, outcome: caller_models.Result) -> None:
        """Take the result of an attempt."""
        self.count += 1
        self._last = outcome
        if outcome.verdict in {_Verdict.LOST, _Verdict.UNKNOWN}:
            self._may_have_run = True

    def may_repeat(self) -> bool:
        """Return whether another attempt makes sense and is permitted."""
        match self._last.verdict:
            case _Verdict.REFUSED:
                return self._last.temporary
            case _Verdict.LOST:
                return True
            case _Verdict.UNKNOWN:
                return self.method == const.METHOD_GET
        return False

    def final(self) -> caller_models.Result:
        """Return the result of the request as a whole."""
        if self._last.verdict not in {_Verdict.LOST, _Verdict.REFUSED, _Verdict.UNKNOWN}:
            return self._last
        if not self._may_have_run:
            return self._last
        verdict = _Verdict.UNKNOWN if self.method == const.METHOD_POST else _Verdict.LOST
        return dataclasses.replace(self._last, verdict=verdict)


def judge(answer: caller_http.HttpAnswer, token: str) -> caller_models.Result:
    """Return what an HTTP answer means for the request with this token."""
    if answer.content_type.startswith(const.CONTENT_TYPE_PROBLEM):
        return _judge_problem(answer)
    try:
        answers.verify(answer.body, token)
    except answers.MixedUpError:
        return caller_models.Result(_Verdict.MIXED_UP)
    except answers.TruncatedError:
        return caller_models.Result(_Verdict.TRUNCATED, f'status {answer.status}')
    if answer.status >= const.HTTP_INTERNAL_ERROR:
        return caller_models.Result(_Verdict.FAILED)
    return caller_models.Result(_Verdict.ANSWERED)


def _judge_problem(answer: caller_http.HttpAnswer) -> caller_models.Result:
    try:
        problem = json.loads(answer.body)
    except ValueError:
        return caller_models.Result(_Verdict.TRUNCATED, f'status {answer.status}')
    reason = str(problem.get('reason', f'status {answer.status}'))
    if problem.get('run') != const.RUN_NOT_RUN:
        return caller_models.Result(_Verdict.UNKNOWN, reason)
    # An expired key needs a new look-up; any other status than 503 is the same everywhere.
    temporary = answer.status == const.HTTP_UNAVAILABLE or reason == const.REASON_KEY_EXPIRED
    return caller_models.Result(_Verdict.REFUSED, reason, temporary)
