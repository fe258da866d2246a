"""Write changes and push withdrawals of access keys to the instances."""

import functools
from concurrent import futures

from rhubarbspar.components.configuration import document
from rhubarbspar.components.configuration import models
from rhubarbspar.operators import changes
from rhubarbspar.operators import errors
from rhubarbspar.operators import fleet
from rhubarbspar.operators.commands import environment as environments

# Pushes are bound by the network. With this many threads, pushing to a large fleet takes only a few
# timeouts even if instances don't respond.
_PUSH_THREADS = 32


def write(environment: environments.Environment, change: changes.Change) -> int:
    """Write a change and return its revision; raises as ``changes.submit`` does.

    If the change removes access keys, the document is also pushed to every instance, because
    withdrawals must reach the instances sooner than they would learn of them from the store.
    """
    revision = changes.submit(environment.store, change, environment.pause)
    environment.write_line(f'accepted as revision {revision}')
    base = change.base.configuration
    if base is not None and base.access_keys.keys() - change.configuration.access_keys.keys():
        push(environment, change.configuration, revision)
    return revision


def push(
    environment: environments.Environment,
    configuration: models.Configuration,
    revision: int,
) -> None:
    """Push a configuration to every listed instance and print each failure.

    If the list cannot be read, nothing is pushed and a line is printed; this is not an error.
    """
    try:
        instances = environment.fleet.instances()
    except errors.InstanceListError as error:
        environment.write_line(f'not pushed, instances follow the store: {error}')
        return
    push_one = functools.partial(
        _push_one,
        environment.fleet,
        encoded=document.render(configuration),
        revision=revision,
    )
    with futures.ThreadPoolExecutor(_PUSH_THREADS) as executor:
        reports = list(executor.map(push_one, instances))
    failures = [report for report in reports if report]
    environment.write_lines(failures)
    accepted = len(instances) - len(failures)
    total = len(instances)
    environment.write_line(f'pushed revision {revision} to {accepted} of {total} instances')


def _push_one(
    instances: fleet.Fleet,
    instance: fleet.Instance,
    encoded: bytes,
    revision: int,
) -> str:
    try:
        instances.push(instance, encoded, revision)
    except errors.PushError as error:
        return f'not pushed to instance {instance.instance_id}: {error}'
    return ''
