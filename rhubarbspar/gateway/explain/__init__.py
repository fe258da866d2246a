"""Explanation where a request would be sent now, without sending it."""
