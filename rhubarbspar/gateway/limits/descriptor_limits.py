"""Division of the file descriptors of the process among its kinds of connections."""

import dataclasses
import math
import resource
import types
import typing

from rhubarbspar.http1 import descriptors

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
    """

    callers: descriptors.ConnectionLimit
    directory: descriptors.ConnectionLimit
    forwards: descriptors.ConnectionLimit
    handshakes: descriptors.ConnectionLimit
    metrics: descriptors.ConnectionLimit
    readiness: descriptors.ConnectionLimit
    servers: descriptors.ConnectionLimit
    store: descriptors.ConnectionLimit

    @property
    def parts(self) -> tuple[descriptors.ConnectionLimit, ...]:
        """Return all limits."""
        return tuple(getattr(self, field.name) for field in dataclasses.fields(self))


def make_limits(platform_limit: str = '') -> Limits:
    """Return the limits of this process.

    Parameters
    ----------
    platform_limit
        Descriptors that the platform grants the process. The limit of the system applies if this is
        no positive number or a larger one.
    """
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [_parse(platform_limit)]
    if system_limit != resource.RLIM_INFINITY:
        known.append(system_limit)
    limit = min(known)
    return divide(_DEFAULT_DESCRIPTORS if limit == math.inf else int(limit))


def divide(descriptor_count: int) -> Limits:
    """Return the limits of a process that may hold a number of descriptors."""
    files = min(_FILES_MAX, max(_FILES_MIN, int(descriptor_count * _FILES_SHARE)))
    sockets = max(0, descriptor_count - files)

    sizes = {kind: max(_LEAST[kind], int(sockets * share)) for kind, share in _SHARES.items()}
    callers = max(_CALLERS_LEAST, sockets - sum(sizes.values()))
    return Limits(
        callers=_port_limit('callers', callers, evicts_partial=False),
        directory=_port_limit('directory', sizes['directory']),
        forwards=_port_limit('forwards', sizes['forwards']),
        handshakes=descriptors.ConnectionLimit('handshakes', sizes['handshakes']),
        metrics=_port_limit('metrics', sizes['metrics']),
        readiness=_port_limit('readiness', sizes['readiness']),
        servers=descriptors.ConnectionLimit('servers', sizes['servers']),
        store=descriptors.ConnectionLimit('store', sizes['store']),
    )


def _port_limit(
    kind: str, limit: int, *, evicts_partial: bool = True
) -> descriptors.ConnectionLimit:
    surplus = max(1, int(limit * _SURPLUS_SHARE))
    return descriptors.ConnectionLimit(
        kind, limit - surplus, descriptors.ConnectionLimit(kind, surplus), evicts_partial
    )


def _parse(raw: str) -> float:
    try:
        parsed = float(raw)
    except ValueError:
        return math.inf
    return parsed if parsed > 0 else math.inf
