"""Tasks of a gateway that use the store."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from rhubarbspar.core import effects as core_effects
from rhubarbspar.gateway import events
from rhubarbspar.gateway import models
from rhubarbspar.gateway.store import store_tasks
from rhubarbspar.platform import errors

MEMBER = models.Member('front-1', 'a', 'almaty-a', 'almaty', '10.0.0.1:80', '10.0.0.1:81')
LEASE = 7


class Client:
    """A client of a store that answers each call when the test says so.

    Attributes
    ----------
    era
        Era of the store.
    calls
        Names and answers of the calls.
    """

    era = 1

    def __init__(self):
        """Nothing is called yet."""
        self.calls = []

    def names(self):
        """Return the names of all calls."""
        return [name for name, _ in self.calls]

    def grant_lease(self, _ttl_ms):
        """Grant a lease."""
        return self._begin('grant')

    def put_if(self, *_arguments):
        """Write a record."""
        return self._begin('put')

    def revoke_lease(self, lease):
        """Revoke a lease."""
        return self._begin(f'revoke {lease}')

    def _begin(self, name):
        answered = defer.Deferred()
        self.calls.append((name, answered))
        return answered


@pytest.mark.parametrize(
    ('answers_before', 'calls'),
    [
        ((), ['grant']),
        ((LEASE,), ['grant', 'put', f'revoke {LEASE}']),
        ((LEASE, True), ['grant', 'put', f'revoke {LEASE}']),
    ],
    ids=['grant', 'put', 'registered'],
)
def test_no_registration_remains_after_a_stop_during_the_start(answers_before, calls):
    """Guards against a registration that is written when the instance has already deregistered."""
    client = Client()
    clock = task.Clock()
    tasks = store_tasks.StoreTasks(clock, client, MEMBER, [].append, [].append)
    defer.Deferred.fromCoroutine(tasks.keep_registered())
    for number, answer in enumerate(answers_before):
        client.calls[number][1].callback(answer)
    defer.Deferred.fromCoroutine(tasks.deregister())
    for _, answered in client.calls:
        if not answered.called:
            answered.callback(LEASE)
    clock.pump([1] * 60)
    assert client.names() == calls


class Prefixes:
    """A client whose reads of a prefix return a value, or raise it if it is an error."""

    era = 1

    def __init__(self, outcome):
        """Store the outcome of all reads."""
        self._outcome = outcome

    async def read_all(self, _prefix):
        """Return all records below a prefix."""
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome


@pytest.mark.parametrize('is_failing', [False, True])
def test_read_of_a_prefix_is_delivered_or_reported(is_failing):
    """Guards against a failed read that nobody sees, or that ends another task."""
    record = events.RecordRead('op/config', 7, b'1')
    client = Prefixes(errors.StoreError('refused') if is_failing else ((record,), 9))
    delivered = []
    reported = []
    tasks = store_tasks.StoreTasks(task.Clock(), client, MEMBER, delivered.append, reported.append)
    defer.Deferred.fromCoroutine(tasks.read_prefix('op/'))
    if is_failing:
        assert not delivered
        assert core_effects.Count('store_failures', 'read_prefix') in reported
    else:
        assert delivered == [events.PrefixRead('op/', (record,), 9)]
        assert not reported
