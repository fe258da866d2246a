"""CBOR codec for the messages between instances.

A frame is the array ``[version, type, fields]``. A data class is encoded as the array of its field
values in the order of declaration, without trailing fields that have their default value. New
fields may therefore only be added at the end and with a default. Floats without a fraction are
encoded as integers. With maps of field names instead of arrays, a heartbeat took 305 bytes.
"""

import dataclasses
import io
import math
import operator
import types
import typing
import zlib
from collections import abc

import cattrs
import cbor2

from rhubarbspar import const as package_const
from rhubarbspar.core import messages
from rhubarbspar.peers import const
from rhubarbspar.peers import errors
from rhubarbspar.peers import registry

PlainT = typing.TypeVar('PlainT')
# A cattrs structure hook: takes the decoded CBOR item and the target type.
Hook = abc.Callable[[typing.Any, typing.Any], typing.Any]

# 2**53: above it, a float cannot represent every integer.
EXACT_INTEGER_MAX: typing.Final = 9_007_199_254_740_992

# Tags that cbor2 converts by itself. They are rejected because some of these conversions cost far
# more than the size of the frame suggests.
BUILT_IN_TAGS: typing.Final = (
    *range(const.LOW_TAGS_END),
    100,
    256,
    258,
    260,
    261,
    1004,
    43_000,
    55_799,
)

_ENCODED_UNCHANGED_TYPES: typing.Final = frozenset((bool, bytes, int, str, types.NoneType))
_DECODED_UNCHANGED_TYPES: typing.Final = frozenset((bool, bytes, int, str))
_NO_DEFAULT: typing.Final = object()

_CONVERSION_ERRORS: typing.Final = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    cbor2.CBORError,
)


# First byte of zlib data with the usual window. A frame that is not compressed starts with the head
# of a CBOR array of three elements, 0x83.
_ZLIB_MAGIC: typing.Final = b'\x78'


class Codec:
    """Encode messages as frames and decode frames.

    Parameters
    ----------
    message_types
        Message classes by type name; those of the entry instances if omitted.
    """

    def __init__(self, message_types: registry.MessageTypes | None = None) -> None:
        self._types = registry.collect_message_types() if message_types is None else message_types
        self._converter = _make_converter()

    def encode(self, message: messages.Message) -> bytes:
        """Encode a message as a frame.

        Raises
        ------
        errors.CodecError
            If the message type is not registered, the frame would be too large or a field cannot
            be encoded.
        """
        name = type(message).__name__
        if not isinstance(message, self._types.get(name, ())):
            raise errors.UnknownMessageError(f'message type {name} is not registered')
        try:
            frame = cbor2.dumps(
                [
                    package_const.PROTOCOL_VERSION,
                    registry.NUMBERS.get(name, name),
                    self._converter.unstructure(message),
                ]
            )
        except _CONVERSION_ERRORS as error:
            raise errors.MalformedFrameError(f'{name} cannot be encoded') from error
        if name in const.COMPRESSED_TYPES and len(frame) >= const.COMPRESSED_MIN_BYTES:
            frame = zlib.compress(frame, zlib.Z_BEST_SPEED)
        _check_size(frame)
        return frame

    def decode(self, frame: bytes) -> messages.Message:
        """Decode a frame into a message.

        Additional fields at the end are ignored, so that instances of different releases can
        exchange messages.

        Raises
        ------
        errors.CodecError
            If the frame is too large, malformed or has an unknown message type.
        """
        _check_size(frame)
        if frame.startswith(_ZLIB_MAGIC):
            frame = _decompress(frame)
        match _decode_cbor(frame):
            case [int(version), int() | str() as type_id, list(fields)] if (
                version == package_const.PROTOCOL_VERSION and not isinstance(type_id, bool)
            ):
                return self._structure(type_id, fields)
            case _:
                raise errors.MalformedFrameError(
                    'frame is not [version, type, fields] of this protocol version'
                )

    def _structure(self, type_id: int | str, fields: list[typing.Any]) -> messages.Message:
        name = registry.NAMES.get(type_id, '') if isinstance(type_id, int) else type_id
        message_type = self._types.get(name)
        if message_type is None:
            raise errors.UnknownMessageError('message type is unknown')
        try:
            return self._converter.structure(fields, message_type)
        except cattrs.BaseValidationError as group:
            details = '; '.join(cattrs.transform_error(group))
            raise errors.MalformedFrameError(f'{name} is malformed: {details}') from group
        except _CONVERSION_ERRORS as error:
            raise errors.MalformedFrameError(f'{name} is malformed') from error


def _check_size(frame: bytes) -> None:
    if len(frame) > const.FRAME_MAX_BYTES:
        raise errors.FrameTooLargeError(f'frame of {len(frame)} bytes is too large')


def _decompress(frame: bytes) -> bytes:
    """Return the content of a compressed frame; it has the same limit of size as any other."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(frame, const.FRAME_MAX_BYTES + 1)
    except zlib.error as error:
        raise errors.MalformedFrameError('frame is not valid zlib data') from error
    _check_size(content)
    if not decompressor.eof or decompressor.unused_data:
        raise errors.MalformedFrameError('compressed frame is incomplete or has trailing bytes')
    return content


def _decode_cbor(frame: bytes) -> typing.Any:
    stream = io.BytesIO(frame)
    decoder = cbor2.CBORDecoder(
        stream,
        allow_duplicate_keys=False,
        allow_indefinite=False,
        max_depth=const.NESTING_DEPTH_MAX,
        semantic_decoders=dict.fromkeys(BUILT_IN_TAGS, _reject_tag),
        strict_hashable_types=True,
        tag_hook=_reject_tag,
    )
    try:
        decoded = decoder.decode()
    except _CONVERSION_ERRORS as error:
        raise errors.MalformedFrameError('frame is not valid CBOR') from error
    if stream.tell() != len(frame):
        raise errors.MalformedFrameError('frame has trailing bytes')
    return decoded


def _reject_tag(*_: typing.Any) -> typing.Any:
    raise errors.MalformedFrameError('CBOR tags are not permitted')


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    _register_structure_hooks(converter)
    converter.register_unstructure_hook(float, _encode_float)
    converter.register_unstructure_hook_factory(
        dataclasses.is_dataclass, _unstructure_hook_factory(converter)
    )
    return converter


def _register_structure_hooks(converter: cattrs.Converter) -> None:
    converter.register_structure_hook(bool, _exact_type_hook(bool))
    converter.register_structure_hook(bytes, _exact_type_hook(bytes))
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass, _dataclass_hook_factory(converter)
    )
    converter.register_structure_hook_factory(_is_tuple, _tuple_hook_factory(converter))
    converter.register_structure_hook_factory(_is_mapping, _mapping_hook_factory(converter))


def _encode_float(number: float) -> float | int:
    # Negative zero has no integer representation and stays a float.
    if not number.is_integer() or abs(number) > EXACT_INTEGER_MAX:
        return number
    return int(number) if number or math.copysign(1, number) > 0 else number


def _unstructure_hook_factory(
    converter: cattrs.Converter,
) -> abc.Callable[[type], abc.Callable[[typing.Any], list[typing.Any]]]:
    def factory(  # noqa: WPS430 (cattrs asks for a factory)
        message_type: type,
    ) -> abc.Callable[[typing.Any], list[typing.Any]]:
        fields = dataclasses.fields(message_type)
        get_field_values = operator.attrgetter(*(field.name for field in fields), '__class__')
        # Zero and negative zero compare equal. Comparing with a float default could therefore drop
        # the sign, so fields with float defaults are always sent.
        defaults = tuple(
            _NO_DEFAULT if isinstance(field.default, float) else field.default for field in fields
        )
        return lambda dataclass_object: [
            field_value
            if field_value.__class__ in _ENCODED_UNCHANGED_TYPES
            else converter.unstructure(field_value)
            for field_value in _without_defaults(get_field_values(dataclass_object), defaults)
        ]

    return factory


def _without_defaults(
    field_values: tuple[typing.Any, ...],
    defaults: tuple[typing.Any, ...],
) -> tuple[typing.Any, ...]:
    count = len(defaults)
    while count and field_values[count - 1] == defaults[count - 1]:
        count -= 1
    return field_values[:count]


def _dataclass_hook_factory(converter: cattrs.Converter) -> abc.Callable[[typing.Any], Hook]:
    def factory(message_type: typing.Any) -> Hook:  # noqa: WPS430 (cattrs asks for a factory)
        hints = typing.get_type_hints(message_type)
        field_types = [hints[field.name] for field in dataclasses.fields(message_type)]
        hooks = [
            (converter.get_structure_hook(field_type), field_type) for field_type in field_types
        ]
        # Fast path: a field value that already has its declared plain type needs no conversion. A
        # heartbeat has many of them.
        return lambda elements, _: message_type(
            *(
                element
                if element.__class__ is field_type and field_type in _DECODED_UNCHANGED_TYPES
                else hook(element, field_type)
                for element, (hook, field_type) in zip(_as_list(elements), hooks, strict=False)
            )
        )

    return factory


def _exact_type_hook(plain_type: type[PlainT]) -> abc.Callable[[typing.Any, typing.Any], PlainT]:
    def hook(raw: typing.Any, _: typing.Any) -> PlainT:  # noqa: WPS430 (needs plain_type)
        if not isinstance(raw, plain_type):
            raise ValueError(f'expected {plain_type.__name__}')
        return raw

    return hook


def _structure_int(raw: typing.Any, _: typing.Any) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise ValueError('expected int')
    return raw


def _structure_float(raw: typing.Any, _: typing.Any) -> float:
    if isinstance(raw, bool) or not isinstance(raw, float | int):
        raise ValueError('expected a number')
    if not math.isfinite(raw):
        raise ValueError('expected a finite number')
    return float(raw)


def _structure_str(raw: typing.Any, str_type: typing.Any) -> typing.Any:
    # cattrs also calls this hook for subclasses of str; an enum must not stay a plain string.
    if not isinstance(raw, str):
        raise ValueError('expected str')
    return str_type(raw)


def _is_tuple(annotation: typing.Any) -> bool:
    return typing.get_origin(annotation) is tuple


def _is_mapping(annotation: typing.Any) -> bool:
    origin = typing.get_origin(annotation)
    return isinstance(origin, type) and issubclass(origin, abc.Mapping)


def _tuple_hook_factory(converter: cattrs.Converter) -> abc.Callable[[typing.Any], Hook]:
    def factory(tuple_type: typing.Any) -> Hook:  # noqa: WPS430 (cattrs asks for a factory)
        first, *rest = typing.get_args(tuple_type)
        if rest == [...]:
            hook = converter.get_structure_hook(first)
            return lambda elements, _: tuple(hook(element, first) for element in _as_list(elements))
        hooks = [
            (converter.get_structure_hook(field_type), field_type) for field_type in (first, *rest)
        ]
        return lambda elements, _: tuple(
            hook(element, field_type)
            for element, (hook, field_type) in zip(_as_list(elements), hooks, strict=True)
        )

    return factory


def _mapping_hook_factory(converter: cattrs.Converter) -> abc.Callable[[typing.Any], Hook]:
    def factory(mapping_type: typing.Any) -> Hook:  # noqa: WPS430 (cattrs asks for a factory)
        key_type, value_type = typing.get_args(mapping_type)
        return lambda elements, _: {
            converter.structure(key, key_type): converter.structure(mapped, value_type)
            for key, mapped in _as_dict(elements).items()
        }

    return factory


def _as_list(raw: typing.Any) -> list[typing.Any]:
    if not isinstance(raw, list):
        raise ValueError('expected an array')
    return raw


def _as_dict(raw: typing.Any) -> dict[typing.Any, typing.Any]:
    if not isinstance(raw, dict):
        raise ValueError('expected a map')
    return raw
