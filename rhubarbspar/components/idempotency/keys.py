"""Format and signature of idempotency keys: ``<prefix>.<suffix>``.

The prefix is base64url text: a truncated HMAC-SHA256 (RFC 2104), followed by the statement that it
signs, ``instance_id/incarnation/expires_ms``. The caller chooses the suffix.
"""

import base64
import binascii
import hashlib
import hmac
import re
import typing

from rhubarbspar.components.idempotency import const
from rhubarbspar.components.idempotency import errors
from rhubarbspar.components.idempotency import models
from rhubarbspar.core import models as core_models

_SUFFIX: typing.Final = re.compile(rf'[A-Za-z0-9._~-]{{1,{const.SUFFIX_MAX_CHARACTERS}}}')


def sign(fleet_key: bytes, statement: models.PrefixStatement) -> str:
    """Return the key prefix for a statement, signed with the fleet key."""
    encoded = f'{statement.incarnation_name}/{statement.expires_ms}'.encode()
    return _encode(_signature(fleet_key, encoded) + encoded)


def parse(fleet_key: bytes, key: str) -> models.PrefixStatement:
    """Return the statement in a key's prefix after checking its signature.

    Raises
    ------
    errors.KeyFormError
        If the key is malformed or its signature is invalid.
    """
    prefix, _, suffix = key.partition('.')
    if _SUFFIX.fullmatch(suffix) is None:
        raise errors.KeyFormError('the key suffix is missing, too long or not URL-safe')
    signed = _decode(prefix)
    signature = signed[: const.SIGNATURE_BYTES]
    statement = signed[const.SIGNATURE_BYTES :]
    if not hmac.compare_digest(signature, _signature(fleet_key, statement)):
        raise errors.KeyFormError('the signature of the key prefix is invalid')
    signed_name, _, expires_ms = statement.decode().rpartition('/')
    return models.PrefixStatement(signed_name, int(expires_ms))


def incarnation_name(instance_id: str, incarnation: str) -> str:
    """Return ``instance_id/incarnation``, the name of one incarnation of an instance."""
    return f'{instance_id}/{incarnation}'


def record_id(account_id: str, key: str) -> bytes:
    """Return the id of a record, a digest of the client account and its idempotency key."""
    return _digest((account_id.encode(), key.encode()))


def request_digest(request: core_models.Request) -> bytes:
    """Return the digest of service, method, target and body, by which repeats are compared."""
    return _digest(
        (
            request.service_id.encode(),
            request.method.encode(),
            request.target.encode(),
            request.body,
        ),
    )


def _digest(parts: tuple[bytes, ...]) -> bytes:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


def _signature(fleet_key: bytes, statement: bytes) -> bytes:
    mac = hmac.digest(fleet_key, const.SIGNATURE_CONTEXT + statement, 'sha256')
    return mac[: const.SIGNATURE_BYTES]


def _encode(signed: bytes) -> str:
    return base64.urlsafe_b64encode(signed).decode().rstrip('=')


def _decode(prefix: str) -> bytes:
    padding = '=' * (-len(prefix) % 4)
    try:
        signed = base64.urlsafe_b64decode(prefix + padding)
    except (binascii.Error, ValueError) as error:
        raise errors.KeyFormError('the key prefix is not base64url') from error
    if _encode(signed) != prefix:
        raise errors.KeyFormError('the key prefix is not in canonical form')
    return signed
