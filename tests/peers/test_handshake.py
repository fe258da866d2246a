"""Tests of the mutual authentication between instances."""

import asyncio
import dataclasses
import types
import typing

import pytest

from rhubarbspar.peers import const
from rhubarbspar.peers import errors
from rhubarbspar.peers import handshake

KEY = b'test fleet key of thirty-two byte'


class _MemoryConnection:
    """One end of an in-memory connection, with the methods that the handshake uses."""

    def __init__(self, inbox: asyncio.Queue[typing.Any], outbox: asyncio.Queue[typing.Any]) -> None:
        self.recv, self.send = inbox.get, outbox.put
        self.transport = types.SimpleNamespace(abort=lambda: outbox.put_nowait(b''))


async def _run_handshake(dialler_id: str, dialled_id: str, listener_id: str) -> list[typing.Any]:
    queues: typing.Any = (asyncio.Queue(), asyncio.Queue())
    dialler, listener = (
        handshake.Handshaker(handshake.Identity(name, '1'), KEY)
        for name in (dialler_id, listener_id)
    )
    return await asyncio.gather(
        dialler.dial(_MemoryConnection(*queues), dialled_id),
        listener.accept(_MemoryConnection(*reversed(queues))),
        return_exceptions=True,
    )


def test_both_sides_get_the_identity_of_the_other() -> None:
    """Guards against attributing messages to the wrong peer or incarnation."""
    identities = [handshake.Identity('b', '1'), handshake.Identity('a', '1')]
    assert asyncio.run(_run_handshake('a', 'b', 'b')) == identities
    assert asyncio.run(_run_handshake('b', 'a', 'a')) == identities[::-1]


@pytest.mark.parametrize('names', [('a', 'b', 'c'), ('c', 'b', 'a'), ('b', 'b', 'b')])
def test_wrong_instance_ids_are_rejected_on_both_sides(names: tuple[str, str, str]) -> None:
    """Guards against connecting to another instance at a reused address, or to the instance itself."""
    failed = asyncio.run(_run_handshake(*names))
    assert [type(error) for error in failed] == [errors.HandshakeError] * 2


def test_listener_with_another_id_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a listener with the fleet key that answers for another instance."""
    monkeypatch.setattr(handshake.Handshaker, '_verify', lambda *_: handshake.Identity('a', '1'))
    failed = asyncio.run(_run_handshake('a', 'b', 'b'))
    assert isinstance(failed[0], errors.HandshakeError)


@pytest.mark.parametrize('change', ['nonce', 'expiry_unix_s', 'audience', 'key', 'expired'])
def test_token_for_another_challenge_audience_or_key_is_rejected(change: str) -> None:
    """Guards against replayed, redirected, forged and expired tokens."""
    signer = handshake.Identity('a', '1')
    issued = handshake.make_challenge()
    if change == 'expired':
        issued = dataclasses.replace(issued, expiry_unix_s=1)
    token = handshake.sign(
        signer, 'c' if change == 'audience' else 'b', issued, KEY[::-1] if change == 'key' else KEY
    )
    expected = issued
    if change in {'nonce', 'expiry_unix_s'}:
        other = dataclasses.replace(handshake.make_challenge(), expiry_unix_s=2)
        expected = dataclasses.replace(issued, **{change: getattr(other, change)})
    with pytest.raises(errors.HandshakeError):
        handshake.verify(token, 'b', expected, KEY)


def test_handshake_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against unauthenticated clients that hold connections open without answering."""
    monkeypatch.setattr(const, 'HANDSHAKE_TIMEOUT_S', 0)
    assert all(
        isinstance(error, errors.HandshakeError)
        for error in asyncio.run(_run_handshake('a', 'b', 'b'))
    )
