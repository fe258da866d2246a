"""Errors of the codec, the handshake and the connections between instances."""

from rhubarbspar import exceptions


class PeersError(exceptions.RhubarbsparError):
    """Base class of the errors of this package."""


class CodecError(PeersError):
    """A frame cannot be encoded or decoded."""


class FrameTooLargeError(CodecError):
    """A frame exceeds the size limit."""


class MalformedFrameError(CodecError):
    """A frame is not a valid message of this protocol version."""


class UnknownMessageError(CodecError):
    """A message type is not registered."""


class RegistryError(PeersError):
    """Two message classes have the same name."""


class AddressError(PeersError):
    """A peer address is not an IP address and port."""


class HandshakeError(PeersError):
    """The other side failed to authenticate itself, or did not do so in time."""
