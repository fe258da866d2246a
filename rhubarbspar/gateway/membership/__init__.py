"""The fleet: its instances, the tree between them, and heartbeats."""
