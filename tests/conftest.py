"""Fixtures shared by all tests."""

import pytest

from rhubarbspar.components.configuration import models as configuration_models

pytest_plugins = ('tests.known_red', 'tests.sockets')


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option ``--seed-offset``, which runs the fleet tests with other seeds."""
    parser.addoption(
        '--seed-offset',
        type=int,
        default=0,
        help='added to the seed of every fleet test; a trace test ignores it',
    )


@pytest.fixture
def configuration() -> configuration_models.Configuration:
    """Return the configuration of a small deployment.

    It has two regions, three failure domains, and one service with two backend servers per domain.
    """
    domains = {'almaty-1': 'almaty', 'almaty-2': 'almaty', 'astana-1': 'astana'}
    servers = tuple(
        configuration_models.BackendServer(
            server_id=f'commissions-{domain}-{number}',
            address='127.0.0.1:1',
            failure_domain=domain,
            slots=3,
            version='v1',
        )
        for domain in domains
        for number in (1, 2)
    )
    service = configuration_models.Service(
        service_id='commissions',
        version='v1',
        routes=(
            configuration_models.Route('/', ('GET',), True, False, 2000),
            configuration_models.Route('/open', ('GET',), True, True, 2000),
            configuration_models.Route('/orders', ('POST',), False, False, 2000),
        ),
        backend_servers=servers,
    )
    return configuration_models.Configuration(
        revision=1,
        deployment='test',
        store_failure_domain='almaty-1',
        services={'commissions': service},
        client_accounts={
            'joiner': configuration_models.ClientAccount('joiner', 50.0, 20),
            'workshop': configuration_models.ClientAccount('workshop', 100.0, 40),
        },
        access_keys={
            'a' * 64: configuration_models.AccessKey('a' * 64, 'joiner'),
            'b' * 64: configuration_models.AccessKey('b' * 64, 'workshop'),
        },
        failure_domains={
            name: configuration_models.FailureDomain(name, region)
            for name, region in domains.items()
        },
        links=(
            configuration_models.Link('almaty', 'astana', 4_000_000_000),
            configuration_models.Link('astana', 'almaty', 4_000_000_000),
        ),
    )
