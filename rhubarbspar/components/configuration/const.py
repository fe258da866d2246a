"""Constants of the configuration component."""

import typing

FRESHNESS_LIMIT_MS: typing.Final = 4000
READ_INTERVAL_MS: typing.Final = 1000
CHANGE_TIMEOUT_MS: typing.Final = 1000
# Below the timeout of requests, so that a repeated request after a lost document is answered.
OFFER_INTERVAL_MS: typing.Final = 250
REQUEST_TIMEOUT_MS: typing.Final = 500

# A remote watcher's read can be 1.8 s old before the next one is heard, plus the store's latency.
STORE_REACHED_MAX_AGE_MS: typing.Final = 2500
FAILURE_DURATION_MIN_MS: typing.Final = 1000
FAILED_READS_MIN: typing.Final = 2
PROBE_AFTER_MS: typing.Final = 1500
PAUSE_GAP_MIN_MS: typing.Final = 500

TAG_READ: typing.Final = 'configuration/read/'
TAG_WATCH: typing.Final = 'configuration/watch/'

REASON_ADOPTED: typing.Final = 'configuration_adopted'
REASON_DIFFERS: typing.Final = 'configuration_differs'
REASON_DOCUMENT_MALFORMED: typing.Final = 'configuration_document_malformed'
REASON_OFFER_MALFORMED: typing.Final = 'configuration_offer_malformed'
REASON_ROLLED_BACK: typing.Final = 'configuration_rolled_back'
