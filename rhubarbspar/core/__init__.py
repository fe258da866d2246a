"""Core of an instance: its state, the shared events and effects, and the reducer."""
