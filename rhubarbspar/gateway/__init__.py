"""Gateway: an instance that passes each request directly to a backend server."""
