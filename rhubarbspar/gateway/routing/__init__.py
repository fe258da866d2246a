"""Choice of the backend server, and what is known of the servers."""
