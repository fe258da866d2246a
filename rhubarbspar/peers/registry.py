"""Registry of the message types between instances: wire numbers and classes."""

import importlib
import inspect
import types
import typing
from collections import abc

from rhubarbspar.core import messages
from rhubarbspar.peers import errors

MessageTypes: typing.TypeAlias = abc.Mapping[str, type[messages.Message]]

# Wire numbers by class name. A number must never be reused for another message. A message without a
# number is sent with its class name.
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
    """Return the message classes that the modules define, by class name.

    Parameters
    ----------
    modules
        Modules to search; those of the entry instances if omitted.

    Raises
    ------
    errors.RegistryError
        If two modules define a message class with the same name.
    """
    if modules is None:
        # Imported here so that processes with other messages do not import the components.
        modules = importlib.import_module('rhubarbspar.peers.entry_messages').MODULES
    message_types: dict[str, type[messages.Message]] = {}
    for module in modules:
        defined = _message_classes_of(module)
        if not message_types.keys().isdisjoint(defined):
            raise errors.RegistryError(
                f'{module.__name__} defines a message class whose name is already registered'
            )
        message_types.update(defined)
    return message_types


def _message_classes_of(module: types.ModuleType) -> dict[str, type[messages.Message]]:
    return {
        name: member
        for name, member in inspect.getmembers(module, inspect.isclass)
        if issubclass(member, messages.Message) and member.__module__ == module.__name__
    }
