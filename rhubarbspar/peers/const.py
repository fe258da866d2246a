"""Constants of the connections between instances."""

import typing

import websockets

from rhubarbspar import const

# Room in a frame for everything but the body of a request or response.
ENVELOPE_MAX_BYTES: typing.Final = 65_536
FRAME_MAX_BYTES: typing.Final = const.BODY_MAX_BYTES + ENVELOPE_MAX_BYTES
# Messages that are compressed from a size on, and that others overtake: changes of the store are long
# lists of similar texts, which a relay sends to each of its children.
BULK_TYPES: typing.Final = frozenset(('StoreNews', 'StoreSnapshotPart'))
# Operators' records are compressed too, but wait for nothing.
COMPRESSED_TYPES: typing.Final = BULK_TYPES | {'OperatorChanges'}
COMPRESSED_MIN_BYTES: typing.Final = 1024
# Nesting of arrays and maps within a frame.
NESTING_DEPTH_MAX: typing.Final = 16
# All CBOR tags below this number are rejected, because cbor2 converts some of them itself. The
# converted tags from this number on are listed in the codec.
LOW_TAGS_END: typing.Final = 64

DIAL_TIMEOUT_S: typing.Final = 1.0
HANDSHAKE_TIMEOUT_S: typing.Final = 1.0
CLOSE_TIMEOUT_S: typing.Final = 0.5
DRAIN_TIMEOUT_S: typing.Final = 1.0
IPV6_VERSION: typing.Final = 6
PORT_MAX: typing.Final = 65_535
TOKEN_LIFETIME_S: typing.Final = 5
TOKEN_ALGORITHM: typing.Final = 'HS256'
NONCE_BYTES: typing.Final = 16

# What an incoming connection may send before it is authenticated: the request of the websocket and
# the proof of the dialler.
OPENING_MAX_BYTES: typing.Final = 8192
# Incoming handshakes at the same time.
HANDSHAKES_MAX: typing.Final = 64
RECEIVE_QUEUE_MAX_FRAMES: typing.Final = 16
SEND_QUEUE_MAX_BYTES: typing.Final = 8_388_608
# Upper bound of what the queues to all peers hold together.
SEND_QUEUES_MAX_BYTES: typing.Final = 33_554_432
SEND_QUEUE_MAX_FRAMES: typing.Final = 4096
# What is in these buffers cannot be overtaken any more.
WRITE_BUFFER_MAX_BYTES: typing.Final = 32_768
SOCKET_UNSENT_MAX_BYTES: typing.Final = 32_768
# Offered by peers that accept fragments of frames.
SUBPROTOCOL: typing.Final = websockets.Subprotocol('rhubarbspar.fragments')

METRIC_PEERS: typing.Final = 'peers'

REASON_ADDRESS_MALFORMED: typing.Final = 'address_malformed'
REASON_DIAL_FAILED: typing.Final = 'dial_failed'
REASON_DUPLICATE_CONNECTION: typing.Final = 'duplicate_connection'
REASON_FRAME_MALFORMED: typing.Final = 'frame_malformed'
REASON_FRAME_TOO_LARGE: typing.Final = 'frame_too_large'
REASON_HANDSHAKE_FAILED: typing.Final = 'handshake_failed'
REASON_NOT_CONNECTED: typing.Final = 'not_connected'
REASON_OPENING_TOO_LARGE: typing.Final = 'opening_too_large'
REASON_OWN_ADDRESS: typing.Final = 'own_address'
REASON_SEND_QUEUE_FULL: typing.Final = 'send_queue_full'
REASON_TOO_MANY_HANDSHAKES: typing.Final = 'too_many_handshakes'
REASON_TYPE_UNKNOWN: typing.Final = 'type_unknown'
