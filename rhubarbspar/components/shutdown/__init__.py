"""Planned stop: graceful shutdown of an instance."""
