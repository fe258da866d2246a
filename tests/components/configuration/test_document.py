"""Tests of configuration documents."""

import pytest

from rhubarbspar.components.configuration import document
from rhubarbspar.components.configuration import errors
from rhubarbspar.components.configuration import models


def test_parsing_a_rendered_document_returns_the_same_configuration(
    configuration: models.Configuration,
) -> None:
    """Guards against fields that are lost between operators and instances."""
    assert document.parse(document.render(configuration), 1) == configuration


@pytest.mark.parametrize('text', [b'{', b'[]', b'{}', b'{"surprise": 1}'])
def test_malformed_document_is_refused(text: bytes) -> None:
    """Guards against a malformed document that instances adopt."""
    with pytest.raises(errors.DocumentError):
        document.parse(text, 1)
