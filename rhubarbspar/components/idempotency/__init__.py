"""Idempotency keys: at-most-once execution and replay of recorded responses."""
