"""The declared configuration: its model, revisions, distribution and freshness."""
