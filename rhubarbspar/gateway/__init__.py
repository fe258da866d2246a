"""Gateway: an instance that forwards each request directly to a backend server."""
