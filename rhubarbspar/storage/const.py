"""Limits, paths and JSON attribute names of the platform clients."""

import typing

ANSWER_MAX_BYTES: typing.Final = 67_108_864
CALL_TIMEOUT_MS: typing.Final = 1000
CONNECTIONS_PER_HOST: typing.Final = 8

# Shorter than the usual idle timeout of servers (60 s), so that a request is rarely sent on a
# connection that the server is closing.
IDLE_CONNECTION_TIMEOUT_S: typing.Final = 30
MS_PER_S: typing.Final = 1000

# A watch that receives nothing for this long is taken to be on a dead connection. The store must
# send progress notifications more often (etcd option --watch-progress-notify-interval).
WATCH_SILENCE_MS: typing.Final = 5000

PATH_INSTANCES: typing.Final = '/v1/instances'
PATH_LEASE_GRANT: typing.Final = '/v3/lease/grant'
PATH_LEASE_KEEPALIVE: typing.Final = '/v3/lease/keepalive'
PATH_LEASE_REVOKE: typing.Final = '/v3/lease/revoke'
PATH_RANGE: typing.Final = '/v3/kv/range'
PATH_TRANSACTION: typing.Final = '/v3/kv/txn'
PATH_WATCH: typing.Final = '/v3/watch'

ATTR_HEADER: typing.Final = 'header'
ATTR_KEY: typing.Final = 'key'
ATTR_LEASE_ID: typing.Final = 'ID'
ATTR_RESULT: typing.Final = 'result'
ATTR_TTL: typing.Final = 'TTL'

# gRPC status code, which the etcd gateway puts into the member "code" of an error.
GRPC_NOT_FOUND: typing.Final = 5

HTTP_OK: typing.Final = 200
