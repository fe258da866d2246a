"""Constants of the HTTP connections."""

import typing

# The kernel closes a connection whose peer has acknowledged no data for this long.
TCP_USER_TIMEOUT_MS: typing.Final = 8000

# Maximum number of requests of one connection that are handled concurrently, and share of the limit of
# connections up to which a connection may have more than one. The rest is left to the first requests of
# connections, as there are as many connections to servers.
PIPELINE_MAX: typing.Final = 32
PIPELINE_SHARE: typing.Final = 0.5

# Time for the peer to read the last response and to close the connection.
LINGER_S: typing.Final = 1.0

RESPONSE_MAX_BYTES: typing.Final = 67_108_864

# Upper bounds of the head of a response, and of its trailers and chunk extensions.
RESPONSE_HEAD_MAX_BYTES: typing.Final = 65_536
RESPONSE_HEADERS_MAX: typing.Final = 256

# Responses to earlier requests that are skipped before the one that is expected; one is usual, from a
# server that has sent a response twice. Their bodies are bounded by the size of one response.
SKIPPED_RESPONSES_MAX: typing.Final = 8

# A body of unknown length is read this far beyond what has arrived.
READ_AHEAD_BYTES: typing.Final = 65_536
# A body of which less than this arrives in this time makes no progress: its client gives way to others
# when connections or memory are short. A link of 5 Mbit/s carries 600 times as much.
BODY_PROGRESS_MIN_BYTES: typing.Final = 1024
BODY_PROGRESS_MAX_MS: typing.Final = 1000
READ_AHEAD_MAX_BYTES: typing.Final = 262_144

# A caller whose request waits for memory for longer does better to ask another instance.
MEMORY_WAIT_MAX_MS: typing.Final = 500

# While memory is short, a client that takes no part of its response for this long is disconnected.
STALLED_WRITE_MAX_MS: typing.Final = 1000

MEMORY_RETRY_AFTER: typing.Final = (b'retry-after', b'1')

# A request may be on its way on a connection that has been idle for less.
EVICTION_IDLE_MIN_MS: typing.Final = 100

# A connection beyond the limit that sends no request is closed after this long.
SURPLUS_IDLE_MAX_MS: typing.Final = 1000
SURPLUS_RETRY_AFTER: typing.Final = (b'retry-after', b'1')

# Idle connections are closed this long before the idle timeout that the peer announced.
KEEP_ALIVE_MARGIN_MS: typing.Final = 1000

HOP_BY_HOP: typing.Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

STATUS_BAD_REQUEST: typing.Final = 400
STATUS_REQUEST_TIMEOUT: typing.Final = 408
STATUS_CONTENT_TOO_LARGE: typing.Final = 413
STATUS_HEADERS_TOO_LARGE: typing.Final = 431
STATUS_NO_CONTENT: typing.Final = 204
STATUS_NOT_MODIFIED: typing.Final = 304
STATUS_OK: typing.Final = 200
STATUS_UNAVAILABLE: typing.Final = 503
