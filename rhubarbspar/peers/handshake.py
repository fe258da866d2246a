"""Mutual challenge-response authentication with the shared fleet key.

Each side sends a challenge: a nonce and an expiry on its own clock. The other side returns a signed
token with both. Clocks of different processes are therefore never compared, and a replayed token
fails because its nonce differs.
"""

import asyncio
import contextlib
import dataclasses
import hmac
import secrets
import time
import types
import typing
from collections import abc

import jwt
import websockets
from websockets.asyncio import connection

from rhubarbspar.core import messages
from rhubarbspar.peers import codec
from rhubarbspar.peers import const
from rhubarbspar.peers import errors
from rhubarbspar.peers import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge(messages.Message):
    """Nonce and expiry to be signed; ``expiry_unix_s`` is on the clock of the verifier."""

    nonce: str
    expiry_unix_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class DiallerProof(messages.Message):
    """Token of the dialling instance, and its challenge to the listener."""

    token: str
    challenge: Challenge


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerProof(messages.Message):
    """Token of the listening instance."""

    token: str


_MESSAGE_TYPES: typing.Final[registry.MessageTypes] = types.MappingProxyType(
    {
        'Challenge': Challenge,
        'DiallerProof': DiallerProof,
        'ListenerProof': ListenerProof,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Instance id, and the incarnation that tells its restarts apart."""

    instance_id: str
    incarnation: str


def make_challenge() -> Challenge:
    """Return a challenge with a random nonce that expires after ``TOKEN_LIFETIME_S``."""
    return Challenge(
        nonce=secrets.token_hex(const.NONCE_BYTES),
        expiry_unix_s=int(time.time()) + const.TOKEN_LIFETIME_S,
    )


def sign(identity: Identity, audience: str, challenge: Challenge, fleet_key: bytes) -> str:
    """Return a JWT by ``identity`` that answers a challenge of the instance ``audience``."""
    claims = {
        'aud': audience,
        'exp': challenge.expiry_unix_s,
        'inc': identity.incarnation,
        'iss': identity.instance_id,
        'nonce': challenge.nonce,
    }
    return jwt.encode(claims, fleet_key, algorithm=const.TOKEN_ALGORITHM)


def verify(token: str, audience: str, challenge: Challenge, fleet_key: bytes) -> Identity:
    """Return the identity of the signer, if the token answers the challenge of ``audience``.

    Raises
    ------
    errors.HandshakeError
        If the token is invalid, expired or answers another challenge.
    """
    try:
        claims = jwt.decode(
            token,
            fleet_key,
            algorithms=[const.TOKEN_ALGORITHM],
            audience=audience,
            options={'require': ['aud', 'exp', 'inc', 'iss', 'nonce'], 'strict_aud': True},
        )
    except jwt.PyJWTError as error:
        raise errors.HandshakeError(f'token is invalid: {type(error).__name__}') from error
    return _check_claims(claims, challenge)


class Handshaker:
    """Authenticate this instance to a peer, and the peer to this instance.

    Parameters
    ----------
    identity
        Identity of this instance.
    fleet_key
        HMAC key that all instances share.
    """

    def __init__(self, identity: Identity, fleet_key: bytes) -> None:
        self._identity = identity
        self._fleet_key = fleet_key
        self._codec = codec.Codec(_MESSAGE_TYPES)

    async def dial(self, websocket: connection.Connection, peer_id: str) -> Identity:
        """Authenticate an outgoing connection to ``peer_id`` and return the peer's identity.

        Raises
        ------
        errors.HandshakeError
            If it fails or takes too long; the connection is aborted.
        """
        with _abort_on_failure(websocket):
            async with asyncio.timeout(const.HANDSHAKE_TIMEOUT_S):
                return await self._dial(websocket, peer_id)

    async def accept(self, websocket: connection.Connection) -> Identity:
        """Authenticate an incoming connection and return the peer's identity.

        Raises
        ------
        errors.HandshakeError
            If it fails or takes too long; the connection is aborted.
        """
        with _abort_on_failure(websocket):
            async with asyncio.timeout(const.HANDSHAKE_TIMEOUT_S):
                return await self._accept(websocket)

    async def _dial(self, websocket: connection.Connection, peer_id: str) -> Identity:
        own_challenge = make_challenge()
        match await self._receive(websocket):
            case Challenge() as challenge:
                token = self._sign(peer_id, challenge)
            case _:
                raise errors.HandshakeError('expected Challenge')
        await self._send(websocket, DiallerProof(token, own_challenge))
        match await self._receive(websocket):
            case ListenerProof(listener_token):
                peer = self._verify(listener_token, own_challenge)
            case _:
                raise errors.HandshakeError('expected ListenerProof')
        if peer.instance_id != peer_id:
            raise errors.HandshakeError('listener is not the dialled instance')
        return peer

    async def _accept(self, websocket: connection.Connection) -> Identity:
        own_challenge = make_challenge()
        await self._send(websocket, own_challenge)
        match await self._receive(websocket):
            case DiallerProof(token, challenge):
                peer = self._verify(token, own_challenge)
            case _:
                raise errors.HandshakeError('expected DiallerProof')
        if peer.instance_id == self._identity.instance_id:
            raise errors.HandshakeError('dialler has the id of this instance')
        await self._send(websocket, ListenerProof(self._sign(peer.instance_id, challenge)))
        return peer

    async def _send(self, websocket: connection.Connection, message: messages.Message) -> None:
        await websocket.send(self._codec.encode(message))

    async def _receive(self, websocket: connection.Connection) -> messages.Message:
        frame = await websocket.recv()
        if isinstance(frame, str):
            raise errors.HandshakeError('expected a binary frame')
        return self._codec.decode(frame)

    def _sign(self, audience: str, challenge: Challenge) -> str:
        return sign(self._identity, audience, challenge, self._fleet_key)

    def _verify(self, token: str, challenge: Challenge) -> Identity:
        return verify(token, self._identity.instance_id, challenge, self._fleet_key)


@contextlib.contextmanager
def _abort_on_failure(websocket: connection.Connection) -> abc.Iterator[None]:
    """Abort the connection if the block fails, and raise failures as ``HandshakeError``."""
    try:
        yield
    except errors.HandshakeError:
        websocket.transport.abort()
        raise
    except (TimeoutError, errors.CodecError, websockets.WebSocketException) as error:
        websocket.transport.abort()
        raise errors.HandshakeError(f'handshake failed: {type(error).__name__}') from error
    except asyncio.CancelledError:
        websocket.transport.abort()
        raise


def _check_claims(claims: dict[str, typing.Any], challenge: Challenge) -> Identity:
    match claims:
        case {'iss': str(instance_id), 'inc': str(incarnation), 'nonce': str(nonce), 'exp': expiry}:
            if expiry != challenge.expiry_unix_s:
                raise errors.HandshakeError('token expiry differs from the challenge')
            if not hmac.compare_digest(nonce.encode(), challenge.nonce.encode()):
                raise errors.HandshakeError('token nonce differs from the challenge')
            return Identity(instance_id, incarnation)
        case _:
            raise errors.HandshakeError('token claims have wrong types')
