"""Codec of the usage reports."""

import json

import pytest

from rhubarbspar.gateway.usage import models
from rhubarbspar.platform import errors
from rhubarbspar.platform import usage

WINDOW = models.WindowCounts(353445120, (models.AccountCount('yefi830', 412),))


def test_report_has_the_form_that_the_platform_asks_for():
    """Guards against reports that the platform rejects."""
    request = usage.encode_report(WINDOW, 'front-almaty-a-1', 12, b'10.0.0.1:80')
    assert (request.method, request.target) == (b'POST', b'/usage')
    headers = dict(request.headers)
    assert headers[b'x-rhubarbspar-duty-holder'] == b'front-almaty-a-1'
    assert headers[b'x-rhubarbspar-fencing-token'] == b'12'
    assert headers[b'content-type'] == b'application/json'
    assert json.loads(request.body) == {'windowId': 353445120, 'counts': {'yefi830': 412}}


def test_records_are_read_as_they_were_written():
    """Guards against a successor that reads another holder or other counts."""
    record = models.DutyRecord('front-1', 'a', 2**53 - 1, 353445120, 7, 1_800_000_000_000, 2, 40)
    assert usage.decode_duty(usage.encode_duty(record), 40) == record
    content = usage.encode_window(WINDOW)
    key = usage.window_key(WINDOW.window_id)
    assert usage._decode_window(key, content) == WINDOW


@pytest.mark.parametrize('content', [b'', b'[]', b'{}', b'{"holder_id": 5}', b'\xff', b'[' * 9999])
def test_malformed_record_of_the_duty_is_an_error(content):
    """Guards against a record that ends the duty of the whole fleet."""
    with pytest.raises(errors.RecordError):
        usage.decode_duty(content, 1)
