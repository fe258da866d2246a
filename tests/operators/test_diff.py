"""Tests of the human-readable difference between configurations."""

import typing

from rhubarbspar.operators import diff
from tests.operators import conftest


def test_difference_lists_added_removed_and_changed_entries(answers: dict[str, typing.Any]) -> None:
    """Guards against changes that the plan does not show to the operator."""
    before = conftest.make_configuration(answers)
    answers['client_accounts']['joiner']['rate_per_s'] = 60
    servers = answers['services']['commissions']['backend_servers']
    servers['almaty-1'][0]['slots'] = 4
    servers['almaty-2'] = [conftest.make_server('c-4', 9004)]
    answers['client_blocks'] = []
    assert diff.difference(before, conftest.make_configuration(answers)) == [
        '~ client_accounts.joiner.rate_per_s: 50 -> 60',
        '- client_blocks.192.0.2.0/24: region=almaty',
        '~ services.commissions.backend_servers.c-1.slots: 3 -> 4',
        '+ services.commissions.backend_servers.c-4: address=127.0.0.1:9004 '
        'failure_domain=almaty-2 leaving=False slots=3 version=v1',
    ]


def test_order_and_revision_are_ignored(answers: dict[str, typing.Any]) -> None:
    """Guards against a new revision written only because the answers were reordered."""
    before = conftest.make_configuration(answers)
    servers = answers['services']['commissions']['backend_servers']
    servers['almaty-1'].reverse()
    assert diff.difference(before, conftest.make_configuration(answers)) == []


def test_routes_with_same_path_prefix_are_compared_separately(
    answers: dict[str, typing.Any],
) -> None:
    """Guards against a changed route that is missed because another has the same path prefix."""
    routes = answers['services']['commissions']['routes']
    routes.insert(0, {**routes[0], 'methods': ['POST'], 'idempotent': False})
    before = conftest.make_configuration(answers)
    routes[0]['idempotent'] = True
    assert diff.difference(before, conftest.make_configuration(answers)) == [
        '~ services.commissions.routes./ POST.idempotent: False -> True',
    ]
