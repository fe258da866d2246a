"""CBOR encoding of the messages between instances.

A frame is ``[version, type, fields]``. Data classes are arrays of their fields in the order of declaration,
without trailing fields that have their defaults, so that fields may only be added at the end and with
a default. Numbers without a fraction are integers. A map with names took 305 bytes for a heartbeat.
"""

import dataclasses
import io
import math
import operator
import types
import typing
from collections import abc

import cattrs
import cbor2

from rhubarbspar import const as package_const
from rhubarbspar.core import messages
from rhubarbspar.peers import const
from rhubarbspar.peers import errors
from rhubarbspar.peers import registry

PlainT = typing.TypeVar('PlainT')
Hook = abc.Callable[[typing.Any, typing.Any], typing.Any]

# Above this a float cannot tell neighbouring integers apart.
EXACT_INTEGER_MAX: typing.Final = 9_007_199_254_740_992

# cbor2 converts these tags itself; some conversions cost far more than the frame's size.
BUILT_IN_TAGS: typing.Final = (
    *range(const.TAGS_LOW),
    100,
    256,
    258,
    260,
    261,
    1004,
    43_000,
    55_799,
)

_PLAIN_TYPES: typing.Final = frozenset((bool, bytes, int, str, types.NoneType))
_UNCONVERTED_TYPES: typing.Final = frozenset((bool, bytes, int, str))
_MISSING: typing.Final = object()

_CONVERSION_ERRORS: typing.Final = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    cbor2.CBORError,
)


class Codec:
    """Translate between messages and frames.

    Parameters
    ----------
    message_types
        The messages by type name.
    """

    def __init__(self, message_types: registry.MessageTypes | None = None) -> None:
        self._types = registry.collect_message_types() if message_types is None else message_types
        self._converter = _make_converter()

    def encode(self, message: messages.Message) -> bytes:
        """Return the frame of a message.

        Raises
        ------
        errors.CodecError
            If the message is of an unknown type, too large or has fields of wrong types.
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
        _check_size(frame)
        return frame

    def decode(self, frame: bytes) -> messages.Message:
        """Return the message of a frame.

        Fields after those that the class has are ignored, so that instances of different releases
        can exchange messages.

        Raises
        ------
        errors.CodecError
            If the frame is too long, malformed or of an unknown type.
        """
        _check_size(frame)
        match _load(frame):
            case [int(version), int() | str() as kind, list(fields)] if (
                version == package_const.PROTOCOL_VERSION and not isinstance(kind, bool)
            ):
                return self._structure(kind, fields)
            case _:
                raise errors.MalformedFrameError('frame is not an envelope of this version')

    def _structure(self, kind: int | str, fields: list[typing.Any]) -> messages.Message:
        name = registry.NAMES.get(kind, '') if isinstance(kind, int) else kind
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
        raise errors.FrameTooLargeError(f'frame has {len(frame)} bytes')


def _load(frame: bytes) -> typing.Any:
    stream = io.BytesIO(frame)
    decoder = cbor2.CBORDecoder(
        stream,
        allow_duplicate_keys=False,
        allow_indefinite=False,
        max_depth=const.DEPTH_MAX,
        semantic_decoders=dict.fromkeys(BUILT_IN_TAGS, _refuse_tag),
        strict_hashable_types=True,
        tag_hook=_refuse_tag,
    )
    try:
        decoded = decoder.decode()
    except _CONVERSION_ERRORS as error:
        raise errors.MalformedFrameError('frame is not plain CBOR') from error
    if stream.tell() != len(frame):
        raise errors.MalformedFrameError('frame has bytes after the message')
    return decoded


def _refuse_tag(*_: typing.Any) -> typing.Any:
    raise errors.MalformedFrameError('frame has a CBOR tag')


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    _register_reading(converter)
    converter.register_unstructure_hook(float, _shorten)
    converter.register_unstructure_hook_factory(
        dataclasses.is_dataclass, _fields_factory(converter)
    )
    return converter


def _register_reading(converter: cattrs.Converter) -> None:
    converter.register_structure_hook(bool, _exactly(bool))
    converter.register_structure_hook(bytes, _exactly(bytes))
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook_factory(dataclasses.is_dataclass, _class_factory(converter))
    converter.register_structure_hook_factory(_is_tuple, _tuple_factory(converter))
    converter.register_structure_hook_factory(_is_mapping, _mapping_factory(converter))


def _shorten(number: float) -> float | int:
    # Negative zero has no integer.
    if not number.is_integer() or abs(number) > EXACT_INTEGER_MAX:
        return number
    return int(number) if number or math.copysign(1, number) > 0 else number


def _fields_factory(
    converter: cattrs.Converter,
) -> abc.Callable[[type], abc.Callable[[typing.Any], list[typing.Any]]]:
    def factory(  # noqa: WPS430 (cattrs asks for a factory)
        message_type: type,
    ) -> abc.Callable[[typing.Any], list[typing.Any]]:
        fields = dataclasses.fields(message_type)
        members_of = operator.attrgetter(*(field.name for field in fields), '__class__')
        # Zero equals negative zero, so that a float is sent even if it has its default.
        defaults = tuple(
            _MISSING if isinstance(field.default, float) else field.default for field in fields
        )
        return lambda candidate: [
            member if member.__class__ in _PLAIN_TYPES else converter.unstructure(member)
            for member in _without_defaults(members_of(candidate), defaults)
        ]

    return factory


def _without_defaults(
    members: tuple[typing.Any, ...],
    defaults: tuple[typing.Any, ...],
) -> tuple[typing.Any, ...]:
    count = len(defaults)
    while count and members[count - 1] == defaults[count - 1]:
        count -= 1
    return members[:count]


def _class_factory(converter: cattrs.Converter) -> abc.Callable[[typing.Any], Hook]:
    def factory(message_type: typing.Any) -> Hook:  # noqa: WPS430 (cattrs asks for a factory)
        hints = typing.get_type_hints(message_type)
        kinds = [hints[field.name] for field in dataclasses.fields(message_type)]
        hooks = [(converter.get_structure_hook(kind), kind) for kind in kinds]
        # A member of exactly a plain type needs no conversion; a heartbeat has many of them.
        return lambda elements, _: message_type(
            *(
                element
                if element.__class__ is kind and kind in _UNCONVERTED_TYPES
                else hook(element, kind)
                for element, (hook, kind) in zip(_as_list(elements), hooks, strict=False)
            )
        )

    return factory


def _exactly(plain_type: type[PlainT]) -> abc.Callable[[typing.Any, typing.Any], PlainT]:
    def hook(candidate: typing.Any, _: typing.Any) -> PlainT:  # noqa: WPS430 (a hook needs its type)
        if not isinstance(candidate, plain_type):
            raise ValueError(f'expected {plain_type.__name__}')
        return candidate

    return hook


def _structure_int(candidate: typing.Any, _: typing.Any) -> int:
    if isinstance(candidate, bool) or not isinstance(candidate, int):
        raise ValueError('expected int')
    return candidate


def _structure_float(candidate: typing.Any, _: typing.Any) -> float:
    if isinstance(candidate, bool) or not isinstance(candidate, float | int):
        raise ValueError('expected a number')
    if not math.isfinite(candidate):
        raise ValueError('expected a finite number')
    return float(candidate)


def _structure_str(candidate: typing.Any, str_type: typing.Any) -> typing.Any:
    # The hook also gets the subclasses of str; an enum must not stay a plain string.
    if not isinstance(candidate, str):
        raise ValueError('expected str')
    return str_type(candidate)


def _is_tuple(candidate: typing.Any) -> bool:
    return typing.get_origin(candidate) is tuple


def _is_mapping(candidate: typing.Any) -> bool:
    origin = typing.get_origin(candidate)
    return isinstance(origin, type) and issubclass(origin, abc.Mapping)


def _tuple_factory(converter: cattrs.Converter) -> abc.Callable[[typing.Any], Hook]:
    def factory(tuple_type: typing.Any) -> Hook:  # noqa: WPS430 (cattrs asks for a factory)
        first, *rest = typing.get_args(tuple_type)
        if rest == [...]:
            hook = converter.get_structure_hook(first)
            return lambda elements, _: tuple(hook(element, first) for element in _as_list(elements))
        hooks = [(converter.get_structure_hook(kind), kind) for kind in (first, *rest)]
        return lambda elements, _: tuple(
            hook(element, kind)
            for element, (hook, kind) in zip(_as_list(elements), hooks, strict=True)
        )

    return factory


def _mapping_factory(converter: cattrs.Converter) -> abc.Callable[[typing.Any], Hook]:
    def factory(mapping_type: typing.Any) -> Hook:  # noqa: WPS430 (cattrs asks for a factory)
        key_type, member_type = typing.get_args(mapping_type)
        return lambda elements, _: {
            converter.structure(key, key_type): converter.structure(member, member_type)
            for key, member in _as_dict(elements).items()
        }

    return factory


def _as_list(candidate: typing.Any) -> list[typing.Any]:
    if not isinstance(candidate, list):
        raise ValueError('expected an array')
    return candidate


def _as_dict(candidate: typing.Any) -> dict[typing.Any, typing.Any]:
    if not isinstance(candidate, dict):
        raise ValueError('expected a map')
    return candidate
