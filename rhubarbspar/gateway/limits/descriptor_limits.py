"""Division of the descriptors and of the receive buffers among the kinds of connections."""

import dataclasses
import math
import resource
import types
import typing

from rhubarbspar.gateway.limits import memory_limits
from rhubarbspar.http1 import descriptors
from rhubarbspar.http1 import receive_buffers

# Applies if neither the platform nor the system names a limit.
_DEFAULT_DESCRIPTORS: typing.Final = 1024
# Descriptors for files, pipes, listening sockets and the event loop.
_FILES_MAX: typing.Final = 200
_FILES_MIN: typing.Final = 24
_FILES_SHARE: typing.Final = 0.125
# Part of the connections at each port that is left to refuse requests.
_SURPLUS_SHARE: typing.Final = 0.125


# Shares of the sockets, and the least numbers of them. Callers have the rest. Servers have as many as
# callers, since each request of a caller takes a connection to a server. The connections to peers
# that have proved their identity are as many as the fleet needs; their share is only kept free.
_SHARES: typing.Final = types.MappingProxyType(
    {
        'directory': 0.04,
        'forwards': 0.1,
        'handshakes': 0.02,
        'metrics': 0.01,
        'peers': 0.06,
        'readiness': 0.01,
        'servers': 0.35,
        'store': 0.02,
    }
)
_LEAST: typing.Final = types.MappingProxyType(
    {
        'directory': 4,
        'forwards': 4,
        'handshakes': 4,
        'metrics': 3,
        'peers': 6,
        'readiness': 3,
        'servers': 12,
        'store': 6,
    }
)
_CALLERS_LEAST: typing.Final = 8
# Ports that callers do not use need only small receive buffers.
_BUFFER_BYTES: typing.Final = types.MappingProxyType(
    {
        'directory': receive_buffers.INTERNAL_BYTES,
        'metrics': receive_buffers.INTERNAL_BYTES,
        'readiness': receive_buffers.INTERNAL_BYTES,
    }
)
# The size of the buffers of peers is that of the system: a smaller one would delay the records that
# they pass on. Only the handshakes, which strangers can begin, are bounded by memory.
_KERNEL_BYTES: typing.Final = types.MappingProxyType(
    {'handshakes': receive_buffers.UNACCEPTED_BYTES, 'peers': 0}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Upper bounds of the connections of a process.

    Attributes
    ----------
    callers, directory, forwards, metrics, readiness
        Connections at the ports of a gateway.
    handshakes
        Connections at the port for peers whose peer has not proved its identity yet.
    servers
        Connections to backend servers, and to peers that pass attempts on.
    store
        Connections to the store.
    queue_length
        Connections that may wait for their acceptance at each port.
    """

    callers: descriptors.ConnectionLimit
    directory: descriptors.ConnectionLimit
    forwards: descriptors.ConnectionLimit
    handshakes: descriptors.ConnectionLimit
    metrics: descriptors.ConnectionLimit
    readiness: descriptors.ConnectionLimit
    servers: descriptors.ConnectionLimit
    store: descriptors.ConnectionLimit
    queue_length: int

    @property
    def parts(self) -> tuple[descriptors.ConnectionLimit, ...]:
        """Return all limits of connections."""
        fields = [getattr(self, field.name) for field in dataclasses.fields(self)]
        return tuple(field for field in fields if isinstance(field, descriptors.ConnectionLimit))


def make_limits(
    platform_limit: str = '', receiving: memory_limits.ReceiveLimits = memory_limits.UNBOUNDED
) -> Limits:
    """Return the limits of this process.

    Parameters
    ----------
    platform_limit
        Descriptors that the platform grants the process. The limit of the system applies if this is
        no positive number or a larger one.
    receiving
        What the memory of the process allows.
    """
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [_parse(platform_limit)]
    if system_limit != resource.RLIM_INFINITY:
        known.append(system_limit)
    limit = min(known)
    return divide(_DEFAULT_DESCRIPTORS if limit == math.inf else int(limit), receiving)


def divide(
    descriptor_count: int, receiving: memory_limits.ReceiveLimits = memory_limits.UNBOUNDED
) -> Limits:
    """Return the limits of a process that may hold a number of descriptors and some memory."""
    files = min(_FILES_MAX, max(_FILES_MIN, int(descriptor_count * _FILES_SHARE)))
    sockets = max(0, descriptor_count - files)

    sizes = {kind: max(_LEAST[kind], int(sockets * share)) for kind, share in _SHARES.items()}
    sizes['callers'] = max(_CALLERS_LEAST, sockets - sum(sizes.values()))
    sizes = _fit_memory(sizes, receiving.buffers_max_bytes)
    return Limits(
        callers=_port_limit('callers', sizes),
        directory=_port_limit('directory', sizes),
        forwards=_port_limit('forwards', sizes),
        handshakes=descriptors.ConnectionLimit('handshakes', sizes['handshakes']),
        metrics=_port_limit('metrics', sizes),
        readiness=_port_limit('readiness', sizes),
        servers=descriptors.ConnectionLimit('servers', sizes['servers']),
        store=descriptors.ConnectionLimit('store', sizes['store']),
        queue_length=receiving.queue_length,
    )


def _fit_memory(sizes: dict[str, int], buffers_max_bytes: float) -> dict[str, int]:
    """Return the numbers of connections, reduced so that their receive buffers fit."""
    needed_bytes = sum(count * _kernel_bytes(kind) for kind, count in sizes.items())
    if needed_bytes <= buffers_max_bytes:
        return sizes
    ratio = buffers_max_bytes / needed_bytes
    least = {**_LEAST, 'callers': _CALLERS_LEAST}
    return {kind: max(least[kind], int(count * ratio)) for kind, count in sizes.items()}


def _kernel_bytes(kind: str) -> int:
    """Return what the kernel may keep for a connection of a kind."""
    known_bytes = _KERNEL_BYTES.get(kind)
    if known_bytes is None:
        return receive_buffers.kernel_bytes(_buffer_bytes(kind))
    return known_bytes


def _buffer_bytes(kind: str) -> int:
    return _BUFFER_BYTES.get(kind, receive_buffers.CALLER_BYTES)


def _port_limit(kind: str, sizes: dict[str, int]) -> descriptors.ConnectionLimit:
    surplus = max(1, int(sizes[kind] * _SURPLUS_SHARE))
    return descriptors.ConnectionLimit(
        kind,
        sizes[kind] - surplus,
        descriptors.ConnectionLimit(kind, surplus),
        evicts_partial=True,
        receive_buffer_bytes=_buffer_bytes(kind),
    )


def _parse(raw: str) -> float:
    try:
        parsed = float(raw)
    except ValueError:
        return math.inf
    return parsed if parsed > 0 else math.inf
