"""Codec of queries and explanations."""

import pytest

from rhubarbspar.gateway.explain import codec
from rhubarbspar.gateway.explain import errors
from rhubarbspar.gateway.explain import models
from tests.gateway.explain import test_explanation

QUERY = models.Query('POST', 'shop.example', '/orders/a b?', 'work&shop', 'oak=1', 360_000)


def test_query_survives_the_request_target():
    """Guards against a path or account with special characters that is cut."""
    assert codec.decode_target(codec.encode_target(QUERY)) == QUERY


def test_explanation_survives_the_body(gateway):
    """Guards against a field that the command line cannot read."""
    explained = test_explanation.explain(gateway)
    assert codec.decode_explanation(codec.encode_explanation(explained)) == explained


@pytest.mark.parametrize(
    'target',
    (
        '/explain',
        '/explain?host=a&method=GET',
        '/explain?host=a&method=GET&path=stock',
        '/explain?host=a&method=GET&path=/&body_bytes=-1',
    ),
)
def test_malformed_query_is_rejected(target):
    """Guards against an explanation of another request than the operator has described."""
    with pytest.raises(errors.MalformedQueryError):
        codec.decode_target(target)


@pytest.mark.parametrize('body', (b'', b'[]', b'{"instance_id": 1}', b'# HELP requests'))
def test_other_answers_are_errors(body):
    """Guards against a traceback when the port belongs to something else."""
    with pytest.raises(errors.MalformedAnswerError):
        codec.decode_explanation(body)
