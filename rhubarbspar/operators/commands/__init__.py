"""Commands of the operator command line, one module for each, and what they share."""
