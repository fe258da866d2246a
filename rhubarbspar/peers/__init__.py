"""Transport and codec for the messages between instances."""
