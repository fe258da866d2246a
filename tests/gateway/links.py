"""Links of limited rate between simulated instances, with the sizes of the real codec."""

import collections
import dataclasses
import json

from rhubarbspar.gateway import messages
from rhubarbspar.peers import codec
from rhubarbspar.peers import const
from rhubarbspar.peers import fragments
from rhubarbspar.peers import registry
from rhubarbspar.peers import send_queue

# A packet of Ethernet; the connections of an instance share its link packet by packet.
PACKET_BYTES = 1500
CODEC = codec.Codec(registry.collect_message_types((messages,)))


def bytes_per_ms(mbit_per_s):
    """Return a rate in bytes per millisecond."""
    return mbit_per_s * 1000 / 8


def mbit_per_s(rate):
    """Return bytes per millisecond as a rate in megabits a second."""
    return round(rate * 8 / 1000)


def encode_content(key, revision, record):
    """Return a content of a record that is about as long as the one in the store."""
    return json.dumps([key, revision, record], default=_plain).encode()


def _plain(value):
    if dataclasses.is_dataclass(value):
        return [getattr(value, field.name) for field in dataclasses.fields(value)]
    if isinstance(value, frozenset):
        return sorted(value)
    return dict(value)


class Piece:
    """A fragment of a message on its way out; the last one carries the message."""

    def __init__(self, size_bytes, message):
        """Start with the whole fragment left."""
        self.left_bytes = size_bytes
        self.message = message

    def __len__(self):
        """Return the bytes that are left."""
        return self.left_bytes


class Uplink:
    """Link of one instance: its connections take turns, each sends as its queue decides.

    Parameters
    ----------
    rate
        Bytes per millisecond.

    Attributes
    ----------
    sent_bytes
        Bytes sent so far, by the class of the message.
    """

    def __init__(self, rate):
        """Start without connections."""
        self.rate = rate
        self.queues = {}
        self.sent_bytes = collections.Counter()
        self._current = {}

    def push(self, receiver_id, message, frame):
        """Queue a message for a peer."""
        kind = type(message)
        self.sent_bytes[kind] += len(frame)
        queue = self.queues.setdefault(receiver_id, send_queue.SendQueue())
        is_bulk = kind.__name__ in const.BULK_TYPES
        sizes = [len(piece) for piece in (fragments.split(frame) if is_bulk else [frame])]
        carried = [*[None] * (len(sizes) - 1), message]
        for size_bytes, carried_message in zip(sizes, carried, strict=True):
            queue.push(Piece(size_bytes, carried_message), is_bulk=is_bulk)

    def clear(self, receiver_id):
        """Drop what is queued for a peer whose connection has ended."""
        self.queues.pop(receiver_id, None)
        self._current.pop(receiver_id, None)

    def advance(self, duration_ms):
        """Send for some time; return the messages whose last byte was sent, with their receivers."""
        left_bytes = self.rate * duration_ms
        sent = []
        while self.queues and left_bytes > 0:
            for receiver_id in tuple(self.queues):
                packet_bytes, message = self._send_packet(receiver_id)
                left_bytes -= packet_bytes
                if message is not None:
                    sent.append((receiver_id, message))
        return sent

    def _send_packet(self, receiver_id):
        """Send a packet to a peer; return its size, and the message that it has completed."""
        queue = self.queues[receiver_id]
        piece = self._current.get(receiver_id) or queue.pop()
        packet_bytes = min(PACKET_BYTES, piece.left_bytes)
        piece.left_bytes -= packet_bytes
        self._current[receiver_id] = piece
        if piece.left_bytes:
            return packet_bytes, None
        self._current.pop(receiver_id)
        if not queue:
            self.queues.pop(receiver_id)
        return packet_bytes, piece.message
