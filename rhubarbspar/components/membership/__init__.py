"""Membership: discovery of peers, connections between instances, heartbeats and liveness."""
