"""Routing of requests: choice of owner and backend server, slots, queues and retries."""
