"""Admission of requests: route, access key, idempotency key and rate limit, then routing."""
