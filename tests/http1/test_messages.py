"""Tests of the serialization of HTTP messages."""

from rhubarbspar.http1 import messages


def test_hop_by_hop_headers_are_dropped():
    """Guards against hop-by-hop headers that are passed on to another connection."""
    headers = (
        (b'connection', b'keep-alive, x-private'),
        (b'keep-alive', b'timeout=3'),
        (b'x-private', b'1'),
        (b'x-kept', b'2'),
    )
    assert messages.end_to_end(headers) == [(b'x-kept', b'2')]


def test_body_is_sent_with_its_length():
    """Guards against a ``Content-Length`` that differs from the body (request smuggling)."""
    request = messages.Request(b'POST', b'/', ((b'content-length', b'99'),), b'abc')
    assert (
        messages.serialize_request_head(request) == b'POST / HTTP/1.1\r\ncontent-length: 3\r\n\r\n'
    )


def test_unknown_status_has_a_phrase():
    """Guards against an exception for a status code that no standard defines."""
    sent = messages.serialize_response_head(messages.Response(599), to_head=False, close=True)
    assert sent.startswith(b'HTTP/1.1 599 Unknown\r\n')
