"""Requests of callers: admission, attempts at backend servers, and responses."""
