"""Scheduling of requests at services that are short of capacity."""
