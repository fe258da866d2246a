"""Global traffic steering: routes requests of callers to backend servers."""
