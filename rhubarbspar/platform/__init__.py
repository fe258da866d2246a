"""Adapter to the users' platform: header names, formats and store calls, without decisions."""
