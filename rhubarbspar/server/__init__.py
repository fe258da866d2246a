"""The instance daemon: converts I/O to events and carries out effects as I/O."""
