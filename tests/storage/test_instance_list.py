"""Tests of the instance list client against the stand-in."""

import pytest

from rhubarbspar.core import events
from rhubarbspar.storage import errors
from rhubarbspar.storage import instance_list
from rhubarbspar.standins import faults
from rhubarbspar.standins import instance_list as standin

ENTRY = {
    'instance_id': 'i1',
    'failure_domain': 'd1',
    'peer_address': '127.0.0.1:1',
    'caller_address': '127.0.0.1:2',
    'state': 'leaving',
}
LISTED = events.ListedInstance('i1', 'd1', '127.0.0.1:1', '127.0.0.1:2', leaving=True)


@pytest.fixture
def listing(loop, clock):
    """Return a stand-in instance list whose answers lag by one second."""
    made = standin.InstanceList(loop.reactor, 1000, clock)
    made.service.listen()
    yield made

    async def close() -> None:
        await made.service.close()

    loop.run(close())


@pytest.fixture
def reader(loop, listing, receiver):
    """Return a client of the stand-in list."""
    url = f'http://127.0.0.1:{listing.service.port}'
    made = instance_list.InstanceListClient(loop.reactor, url, receiver, timeout_ms=25_000)
    yield made

    async def close() -> None:
        await made.close()

    loop.run(close())


def test_simulated_list_shows_a_change_after_its_lag(
    loop, listing, reader, receiver, clock
) -> None:
    """Guards against a stand-in whose list shows changes at once, unlike the real one."""
    listing.replace((ENTRY,))
    clock.advance(0.9)
    assert loop.run(reader.fetch()) == ()
    clock.advance(0.1)
    reader.refresh()
    loop.run(loop.until(lambda: receiver.events))
    assert receiver.events == [events.InstancesListed((LISTED,))]


def test_unavailable_list_delivers_nothing(loop, listing, reader, receiver) -> None:
    """Guards against taking an outage of the list for an empty list."""
    listing.service.switch_faults(faults.Faults(down=True))
    reader.refresh()
    with pytest.raises(errors.UnavailableError):
        loop.run(reader.fetch())
    assert not receiver.events


@pytest.mark.parametrize('answer', [b'{}', b'[1]', b'[{"state": "live"}]', b'['])
def test_malformed_list_is_rejected(loop, listing, reader, answer: bytes) -> None:
    """Guards against a malformed entry that raises an unexpected exception."""
    listing.service._receiver = lambda exchange: exchange.answer(answer)
    with pytest.raises(errors.AnswerError):
        loop.run(reader.fetch())
