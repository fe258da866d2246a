"""Names and numbers of the messages between instances."""

import importlib
import inspect
import types
import typing
from collections import abc

from rhubarbspar.core import messages
from rhubarbspar.peers import errors

MessageTypes: typing.TypeAlias = abc.Mapping[str, type[messages.Message]]

# A number is never given to another message. A message without a number is sent under its name.
NUMBERS: typing.Final = types.MappingProxyType(
    {
        'Heartbeat': 1,
        'DelegationRequest': 2,
        'DelegationAnswer': 3,
        'TokenDonation': 4,
        'TokenRequest': 5,
        'TokenGrant': 6,
        'ForwardRequest': 7,
        'ForwardAnswer': 8,
        'ForwardCancel': 9,
    }
)
NAMES: typing.Final = types.MappingProxyType({number: name for name, number in NUMBERS.items()})


def collect_message_types(modules: abc.Iterable[types.ModuleType] | None = None) -> MessageTypes:
    """Return the message classes that the modules define, by name; by default the entry instance's.

    Raises
    ------
    errors.RegistryError
        If two classes have the same name.
    """
    if modules is None:
        # The components are imported only by processes that speak their messages.
        modules = importlib.import_module('rhubarbspar.peers.entry_messages').MODULES
    found: dict[str, type[messages.Message]] = {}
    for module in modules:
        own = _messages_of(module)
        if not found.keys().isdisjoint(own):
            raise errors.RegistryError(f'{module.__name__} repeats the name of a message class')
        found.update(own)
    return found


def _messages_of(module: types.ModuleType) -> dict[str, type[messages.Message]]:
    return {
        name: member
        for name, member in inspect.getmembers(module, inspect.isclass)
        if issubclass(member, messages.Message) and member.__module__ == module.__name__
    }
