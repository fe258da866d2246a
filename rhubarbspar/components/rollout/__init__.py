"""Moves: canary rollouts of new versions, and drains of servers, failure domains and instances."""
