"""Parse addresses of the form ``host:port``."""


def split_host_port(address: str) -> tuple[str, int]:
    """Return the host, without the brackets of an IPv6 address, and the port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
