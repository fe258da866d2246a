"""The replica of the platform's store, and the relay of its changes."""
