"""The command that explains where a request would be sent."""

import json

import pytest

from rhubarbspar import cli
from rhubarbspar.gateway.explain import codec
from rhubarbspar.gateway.explain import models
from rhubarbspar.operators import http

ARGUMENTS = ('explain', '--gateway', '10.0.0.1:9464', '--host', 'shop.example', '--path', '/stock/')
CANDIDATE = models.Candidate(
    's-1', 'almaty-a', 'v1', 3, 1.5, 20, 300, 320, models.Exclusion.EJECTED
)
EXPLANATION = models.Explanation(
    'front-1',
    7,
    120,
    40,
    'reads',
    'stock',
    1,
    '',
    False,
    models.Refusal(503, 'full', 250),
    (CANDIDATE,),
)


@pytest.fixture
def answer(monkeypatch):
    """Return a function that sets the answer of the gateway."""

    def set_answer(status, body):
        monkeypatch.setattr(http, 'call', lambda _method, _url: http.Response(status, body))

    return set_answer


def test_refusal_and_reasons_are_printed(answer, capsys):
    """Guards against an explanation without the reason, the retry time or the age of a report."""
    answer(200, codec.encode_explanation(EXPLANATION))
    assert cli.main(ARGUMENTS) == 0
    printed = capsys.readouterr().out
    for expected in ('503 (full), retry after 250 ms', 'reported 20 ms ago', 'ejected'):
        assert expected in printed


def test_json_is_the_answer_of_the_gateway(answer, capsys):
    """Guards against JSON that a script cannot read."""
    answer(200, codec.encode_explanation(EXPLANATION))
    assert cli.main((*ARGUMENTS, '--json')) == 0
    assert json.loads(capsys.readouterr().out)['refusal']['reason'] == 'full'


@pytest.mark.parametrize(
    ('status', 'body', 'code', 'message'),
    (
        (400, b'client account x is unknown', 2, 'client account x is unknown'),
        (503, b'', 1, 'status 503'),
        (200, b'# HELP', 1, 'no explanation'),
    ),
)
def test_errors_have_an_exit_code_and_a_message(answer, capsys, status, body, code, message):
    """Guards against a traceback, and against an error that a script takes for success."""
    answer(status, body)
    assert cli.main(ARGUMENTS) == code
    assert message in capsys.readouterr().err
