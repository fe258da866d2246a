"""Tests that gateways of different releases read each other's messages.

``releases.json`` holds the messages of earlier releases by the commit that they come from.
"""

import dataclasses
import json
import pathlib
import typing

import pytest

from rhubarbspar.core import messages as core_messages
from rhubarbspar.gateway import messages
from rhubarbspar.peers import codec

_RELEASES = json.loads(pathlib.Path(__file__).with_name('releases.json').read_text())
_TODAY = {name: getattr(messages, name) for name in dir(messages)}
_SAMPLES = {bool: True, bytes: b'content', float: 2.5, int: 7, str: 'text'}


class ReleaseError(AssertionError):
    """Two releases read different values from the same frame."""


def _build_types(release):
    """Return the data classes of a release by their names."""
    namespace = {}
    for description in release:
        fields = [_build_field(field, namespace) for field in description['fields']]
        bases = (core_messages.Message,) if description['is_message'] else ()
        built = dataclasses.make_dataclass(description['name'], fields, bases=bases, frozen=True)
        namespace[description['name']] = built
    return namespace


def _build_field(field, namespace):
    annotation = eval(field['type'], namespace.copy())  # noqa: S307 (types of this repository)
    if 'default' not in field:
        return field['name'], annotation
    default = field['default']
    default = tuple(default) if isinstance(default, list) else default
    return field['name'], annotation, dataclasses.field(default=default)


def _sample(annotation, number):
    """Return a value of a type that is not a default and differs from its neighbours."""
    arguments = [each for each in typing.get_args(annotation) if each is not type(None)]
    if typing.get_origin(annotation) is tuple:
        return (_sample(arguments[0], number), _sample(arguments[0], number + 1))
    if arguments:
        return _sample(arguments[0], number)
    if dataclasses.is_dataclass(annotation):
        return _fill(annotation, number)
    return _sample_plain(annotation, number)


def _sample_plain(annotation, number):
    if annotation is bool:
        return True
    if annotation in {bytes, str}:
        return _SAMPLES[annotation] * (number + 1)
    return _SAMPLES[annotation] + number


def _fill(message_type, number=0):
    """Return a message of which every field has a value of its own."""
    hints = typing.get_type_hints(message_type)
    fields = dataclasses.fields(message_type)
    return message_type(
        *(_sample(hints[field.name], number + place) for place, field in enumerate(fields))
    )


def _codec(types):
    return codec.Codec(
        {
            name: each
            for name, each in types.items()
            if isinstance(each, type) and issubclass(each, core_messages.Message)
        }
    )


def _check_common_fields(sent, received):
    """Raise if a field that both data classes have differs."""
    received_names = {field.name for field in dataclasses.fields(received)}
    for field in dataclasses.fields(sent):
        if field.name in received_names:
            _check_values(field.name, getattr(sent, field.name), getattr(received, field.name))


def _check_values(name, sent, received):
    if isinstance(sent, tuple) and sent and dataclasses.is_dataclass(sent[0]):
        for one, other in zip(sent, received, strict=True):
            _check_common_fields(one, other)
    elif sent != received:
        raise ReleaseError(f'{name} is {sent!r} for one release and {received!r} for the other')


def _exchange(sender_types, receiver_types, name):
    sent = _fill(sender_types[name])
    _check_common_fields(sent, _codec(receiver_types).decode(_codec(sender_types).encode(sent)))


_CASES = [
    pytest.param(release, description['name'], id=f'{commit}-{description["name"]}')
    for commit, release in _RELEASES.items()
    for description in release
    if description['is_message']
]


@pytest.mark.parametrize(('release', 'name'), _CASES)
def test_releases_read_each_others_messages(release, name):
    """While instances are replaced one after the other, a field read as another one spreads."""
    earlier = _build_types(release)

    _exchange(earlier, _TODAY, name)
    _exchange(_TODAY, earlier, name)


@pytest.mark.parametrize('changed', ['swapped', 'inserted', 'retyped'])
def test_a_changed_field_is_found(changed):
    """The comparison of releases must not pass over the mistakes that it is there for."""
    release = json.loads(json.dumps(_RELEASES['8435c5e']))
    fields = next(each for each in release if each['name'] == 'StoreNews')['fields']
    match changed:
        case 'swapped':
            fields[0], fields[1] = fields[1], fields[0]
        case 'inserted':
            fields.insert(0, {'name': 'new', 'type': 'int'})
        case _:
            fields[0]['type'] = 'str'

    with pytest.raises((ReleaseError, codec.errors.CodecError)):
        _exchange(_build_types(release), _TODAY, 'StoreNews')
