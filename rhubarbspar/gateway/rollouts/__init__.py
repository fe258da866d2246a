"""Rollouts of versions, and the evidence on which they are judged."""
