"""Steering of callers: answers to lookups, by region from the client block map."""
