"""Exclusive claims on named resources, bound to one store lease per instance."""
