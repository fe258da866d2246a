"""Tests of the codec for messages between instances."""

import dataclasses
import typing
import zlib

import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from rhubarbspar.components.membership import models as membership_models
from rhubarbspar.components.routing import models as routing_models
from rhubarbspar.core import messages
from rhubarbspar.gateway import messages as gateway_messages
from rhubarbspar.peers import codec
from rhubarbspar.peers import const
from rhubarbspar.peers import errors
from rhubarbspar.peers import entry_messages
from rhubarbspar.peers import registry

CODEC = codec.Codec()


def _frame(kind: typing.Any, fields: typing.Any, version: typing.Any = 2) -> bytes:
    return cbor2.dumps([version, kind, fields])


def _nested(levels: int) -> list[typing.Any]:
    nested: list[typing.Any] = []
    for _ in range(levels):
        nested = [nested]
    return nested


@pytest.mark.parametrize('name', sorted(registry.collect_message_types()))
@hypothesis.settings(deadline=None)
@hypothesis.given(data=strategies.data())
def test_every_message_round_trips(name: str, data: strategies.DataObject) -> None:
    """Guards against field values that encoding and decoding change."""
    message_type = registry.collect_message_types()[name]
    strategies.register_type_strategy(
        float, strategies.floats(allow_nan=False, allow_infinity=False)
    )
    strategies.register_type_strategy(int, strategies.integers(-(2**63), 2**63))
    message = data.draw(strategies.from_type(message_type))
    decoded = CODEC.decode(CODEC.encode(message))
    assert decoded == message
    # An enum member equals its plain string, so equality alone would miss a changed type.
    assert repr(decoded) == repr(message)


@hypothesis.settings(deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_give_a_message_or_a_codec_error(frame: bytes) -> None:
    """Guards against a frame that ends a connection's task with an unexpected exception."""
    try:
        decoded = CODEC.decode(frame)
    except errors.CodecError:
        return
    assert isinstance(decoded, messages.Message)


@pytest.mark.parametrize(
    'frame',
    [
        b'',
        b'\xff',
        _frame('ForwardCancel', ['1']) + b'0',
        _frame('ForwardCancel', ['1'], version=1),
        _frame('ForwardCancel', ['1'], version=3),
        _frame(1, ['1'], version=True),
        _frame(True, ['1']),
        _frame(None, ['1']),
        _frame([1], ['1']),
        _frame('ForwardCancel', []),
        _frame('ForwardCancel', [1]),
        _frame('ForwardCancel', '1'),
        _frame('ForwardCancel', {'forward_id': '1'}),
        _frame('ForwardCancel', None),
        _frame('ForwardCancel', [_nested(20)]),
        _frame('ForwardCancel', [cbor2.CBORTag(35, 'a')]),
        _frame('ForwardCancel', [cbor2.CBORTag(9999, 'a')]),
        _frame('ForwardAnswer', ['1', True]),
        _frame('ForwardAnswer', ['1', None, 'ab']),
        _frame('ForwardAnswer', ['1', None, [['a']]]),
        _frame('ForwardAnswer', ['1', None, [], b'', '', '', float('nan')]),
        _frame('ForwardAnswer', ['1', None, [], b'', '', '', 10**400]),
        _frame('Heartbeat', []),
        _frame(True, [1, None, None, 'run', 0]),
        _frame(1, [1, None, None, 'run', 0, None, None, None, 'abcd']),
        _frame(1, [1, None, None, 'run', 0, None, None, None, dict.fromkeys('abcd')]),
        _frame(1, [1, None, None, 'run', 0, None, None, None, ['a', 'b', 'c']]),
        _frame(1, [1, None, None, 'run', 0, None, None, None, None, 'lively']),
        _frame(1, [1, None, None, 'run', 0, None, None, None, None, None, [1, True, 1]]),
        _frame(1, [1, None, None, 'run', 0, None, None, None, None, None, None, [['s', 1]]]),
        _frame(1, []),
        cbor2.dumps({'v': 2, 't': 'ForwardCancel', 'b': ['1']}),
        cbor2.dumps([2, 'ForwardCancel']),
        cbor2.dumps([2, 'ForwardCancel', ['1'], 0]),
        b'\xbf\x61v\x01\xff',
        b'\xa2\x61v\x01\x61v\x01',
    ],
)
def test_malformed_frame_is_rejected(frame: bytes) -> None:
    """Guards against values of wrong types that reach the reducer."""
    with pytest.raises(errors.MalformedFrameError):
        CODEC.decode(frame)


def test_unknown_message_type_is_rejected() -> None:
    """Guards against reporting the message types of a newer release as malformed frames."""
    for kind in ('Surprise', '', 1000, -1, 2**63):
        with pytest.raises(errors.UnknownMessageError):
            CODEC.decode(_frame(kind, []))


def test_trailing_default_fields_are_not_sent() -> None:
    """Guards against sending trailing defaults, and against omitting one before a set field."""
    answer = routing_models.ForwardAnswer('1', reason='full')
    assert cbor2.loads(CODEC.encode(answer)) == [2, 8, ['1', None, [], b'', 'full']]
    assert CODEC.decode(CODEC.encode(answer)) == answer


def test_message_numbers_are_unique_and_registered() -> None:
    """Guards against decoding one message as another, and a number without a message class."""
    assert len(registry.NAMES) == len(registry.NUMBERS)
    assert registry.NUMBERS.keys() <= registry.collect_message_types().keys()
    named = _frame('ForwardCancel', ['1'])
    assert CODEC.decode(named) == CODEC.decode(_frame(registry.NUMBERS['ForwardCancel'], ['1']))


def test_additional_field_is_ignored() -> None:
    """Guards against releases that cannot exchange messages after one of them adds a field."""
    frame = _frame('ForwardCancel', ['1', 2])
    assert CODEC.decode(frame) == routing_models.ForwardCancel('1')


def test_frame_size_is_limited() -> None:
    """Guards against unbounded memory for one frame, when sending and when receiving."""
    too_large = routing_models.ForwardAnswer('1', body=bytes(const.FRAME_MAX_BYTES))
    with pytest.raises(errors.FrameTooLargeError):
        CODEC.encode(too_large)
    with pytest.raises(errors.FrameTooLargeError):
        CODEC.decode(bytes(const.FRAME_MAX_BYTES + 1))


def test_unregistered_message_class_is_not_encoded() -> None:
    """Guards against sending a message class that no peer can decode."""

    @dataclasses.dataclass(frozen=True, slots=True)
    class Heartbeat(messages.Message):
        """Unregistered class with the name of a registered message."""

    with pytest.raises(errors.UnknownMessageError):
        CODEC.encode(Heartbeat())


def test_duplicate_message_name_is_rejected() -> None:
    """Guards against two message classes with one name, of which one would replace the other."""
    with pytest.raises(errors.RegistryError):
        registry.collect_message_types([membership_models, membership_models])


def test_float_fields_have_float_defaults() -> None:
    """Guards against a float field that arrives as int because its int default is not sent."""
    integer_defaults = [
        f'{kind.__name__}.{field.name}'
        for module in entry_messages.MODULES
        for kind in vars(module).values()
        if dataclasses.is_dataclass(kind) and kind.__module__ == module.__name__
        for field in dataclasses.fields(kind)
        if typing.get_type_hints(kind)[field.name] is float and isinstance(field.default, int)
    ]
    assert not integer_defaults


def test_long_list_of_changes_is_compressed() -> None:
    """Guards against relayed changes that fill the thin link of a relay with many children."""
    coder = codec.Codec(registry.collect_message_types((gateway_messages,)))
    records = tuple(
        gateway_messages.RelayedRecord(f'servers/i-{number}', number, b'{"service": "stock"}' * 10)
        for number in range(100)
    )
    news = gateway_messages.StoreNews(1, 100, records)
    frame = coder.encode(news)
    assert len(frame) < 5000
    assert coder.decode(frame) == news


@pytest.mark.parametrize(
    'frame',
    [
        zlib.compress(bytes(const.FRAME_MAX_BYTES + 1)),
        zlib.compress(bytes(100))[:-1],
        zlib.compress(b'\x83\x02\x01\x80') + b'0',
        b'\x78\x00',
    ],
)
def test_bad_compressed_frame_is_rejected(frame: bytes) -> None:
    """Guards against a small frame that fills the memory, and against damaged frames."""
    with pytest.raises(errors.CodecError):
        codec.Codec().decode(frame)
