"""HTTP clients of the platform's key-value store (etcd) and instance list."""
