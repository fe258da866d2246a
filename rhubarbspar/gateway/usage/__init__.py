"""Usage reports: requests that began to run, by client account and window of time."""
