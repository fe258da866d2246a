"""Links of limited rate between simulated instances, with the sizes of the real codec."""

import collections
import dataclasses
import json

from rhubarbspar.gateway import messages
from rhubarbspar.peers import codec
from rhubarbspar.peers import registry

# A packet of Ethernet; the connections of an instance share its link packet by packet.
PACKET_BYTES = 1500
CODEC = codec.Codec(registry.collect_message_types((messages,)))


def bytes_per_ms(mbit_per_s):
    """Return a rate in bytes per millisecond."""
    return mbit_per_s * 1000 / 8


def encode_content(key, revision, record):
    """Return a content of a record that is about as long as the one in the store."""
    return json.dumps([key, revision, record], default=_plain).encode()


def _plain(value):
    if dataclasses.is_dataclass(value):
        return [getattr(value, field.name) for field in dataclasses.fields(value)]
    if isinstance(value, frozenset):
        return sorted(value)
    return dict(value)


class Frame:
    """A message on its way out, and how much of it is left."""

    def __init__(self, message, size_bytes):
        """Start with the whole message left."""
        self.message = message
        self.left_bytes = size_bytes


class Uplink:
    """Link of one instance: its connections take turns, each sends its messages in order.

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

    def push(self, receiver_id, message, size_bytes):
        """Queue a message for a peer."""
        self.sent_bytes[type(message)] += size_bytes
        self.queues.setdefault(receiver_id, collections.deque()).append(Frame(message, size_bytes))

    def clear(self, receiver_id):
        """Drop what is queued for a peer whose connection has ended."""
        self.queues.pop(receiver_id, None)

    def advance(self, duration_ms):
        """Send for some time; return the messages whose last byte was sent, with their receivers."""
        left_bytes = self.rate * duration_ms
        sent = []
        while self.queues and left_bytes > 0:
            for receiver_id, queue in tuple(self.queues.items()):
                frame = queue[0]
                packet_bytes = min(PACKET_BYTES, frame.left_bytes)
                frame.left_bytes -= packet_bytes
                left_bytes -= packet_bytes
                if frame.left_bytes <= 0:
                    sent.append((receiver_id, queue.popleft().message))
                if not queue:
                    self.queues.pop(receiver_id)
        return sent
