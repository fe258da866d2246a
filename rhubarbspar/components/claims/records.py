"""Keys and JSON values of the claim records in the store."""

import json
import typing

from rhubarbspar.components.claims import const
from rhubarbspar.components.claims import errors
from rhubarbspar.components.claims import models
from rhubarbspar.core import events

ATTR_HOLDER = 'holder'
ATTR_HOLDERS = 'holders'
ATTR_INCARNATION = 'incarnation'
ATTR_LEASE = 'lease'
ATTR_UNCONFIRMED = 'unconfirmed'


def claim_key(name: str) -> str:
    """Return the key of a claim's record."""
    return f'{const.KEY_PREFIX}{const.KIND_HELD}{name}'


def former_holders_key(name: str) -> str:
    """Return the key of the list of holders that have not released a claim."""
    return f'{const.KEY_PREFIX}{const.KIND_FORMER}{name}'


def presence_key(instance_id: str) -> str:
    """Return the key that exists as long as an instance's lease."""
    return f'{const.KEY_PREFIX}{const.KIND_PRESENCE}{instance_id}'


def encode_claim(record: models.ClaimRecord) -> bytes:
    """Return the JSON of a claim record."""
    return _encode_json(
        {
            ATTR_HOLDER: record.holder.instance_id,
            ATTR_INCARNATION: record.holder.incarnation,
            ATTR_LEASE: record.lease_id,
            ATTR_UNCONFIRMED: _encode_holders(record.unconfirmed),
        }
    )


def encode_former_holders(holders: tuple[models.Holder, ...]) -> bytes:
    """Return the JSON of the holders that have not released a claim."""
    return _encode_json({ATTR_HOLDERS: _encode_holders(holders)})


def decode_claim(record: events.StoreRecord) -> models.ClaimRecord:
    """Decode a claim record.

    Raises
    ------
    errors.MalformedRecordError
        If the value is not the JSON of a claim record.
    """
    try:
        return _parse_claim(json.loads(record.value))
    except (KeyError, TypeError, ValueError) as error:
        raise errors.MalformedRecordError(record.key) from error


def decode_former_holders(record: events.StoreRecord) -> tuple[models.Holder, ...]:
    """Decode the list of holders that have not released a claim.

    Raises
    ------
    errors.MalformedRecordError
        If the value is not the JSON of a list of holders.
    """
    try:
        return _decode_holders(json.loads(record.value)[ATTR_HOLDERS])
    except (KeyError, TypeError, ValueError) as error:
        raise errors.MalformedRecordError(record.key) from error


def read_snapshot(store_records: tuple[events.StoreRecord, ...]) -> models.Snapshot:
    """Decode all records under the claims key prefix.

    A malformed record counts as held by an unknown holder, so that no instance takes the claim.
    """
    snapshot = models.Snapshot()
    for store_record in store_records:
        kind, _, name = store_record.key.removeprefix(const.KEY_PREFIX).partition('/')
        match f'{kind}/':
            case const.KIND_HELD:
                snapshot.claims[name] = _read_claim(store_record)
            case const.KIND_FORMER:
                snapshot.former_holders[name] = _read_former_holders(store_record)
            case const.KIND_PRESENCE:
                snapshot.registered_ids.add(name)
    return snapshot


def _parse_claim(document: dict[str, typing.Any]) -> models.ClaimRecord:
    return models.ClaimRecord(
        holder=models.Holder(str(document[ATTR_HOLDER]), str(document[ATTR_INCARNATION])),
        lease_id=str(document[ATTR_LEASE]),
        unconfirmed=_decode_holders(document[ATTR_UNCONFIRMED]),
    )


def _read_claim(store_record: events.StoreRecord) -> models.StoredClaim:
    try:
        claim_record = decode_claim(store_record)
    except errors.MalformedRecordError:
        claim_record = models.ClaimRecord(models.Holder('', ''), '')
    return models.StoredClaim(claim_record, store_record.revision)


def _read_former_holders(store_record: events.StoreRecord) -> models.StoredFormerHolders:
    try:
        holders = decode_former_holders(store_record)
    except errors.MalformedRecordError:
        holders = (models.Holder('', ''),)
    return models.StoredFormerHolders(holders, store_record.revision)


def _encode_holders(holders: tuple[models.Holder, ...]) -> list[list[str]]:
    return [[holder.instance_id, holder.incarnation] for holder in holders]


def _decode_holders(pairs: list[list[str]]) -> tuple[models.Holder, ...]:
    return tuple(
        models.Holder(str(instance_id), str(incarnation)) for instance_id, incarnation in pairs
    )


def _encode_json(document: dict[str, object]) -> bytes:
    return json.dumps(document, separators=(',', ':')).encode()
