"""Constants of the configuration component."""

import typing

# Maximum age of a confirmation or attestation for which access keys still count as fresh.
FRESHNESS_LIMIT_MS: typing.Final = 4000
READ_INTERVAL_MS: typing.Final = 1000
# A change reported by the watch is adopted after this time even if no read has confirmed it.
CHANGE_TIMEOUT_MS: typing.Final = 1000
# Less than REQUEST_TIMEOUT_MS, so that a request repeated after a lost document is answered.
OFFER_INTERVAL_MS: typing.Final = 250
REQUEST_TIMEOUT_MS: typing.Final = 500

# A read by a remote watcher can be 1.8 s old, plus the store's latency, when a heartbeat reports
# the next one.
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
