"""Clients of the platform's key-value store and instance list."""
