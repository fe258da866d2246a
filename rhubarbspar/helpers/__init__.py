"""Functions and data structures that several components use."""
