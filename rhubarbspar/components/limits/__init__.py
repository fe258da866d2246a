"""Rate limits of client accounts and bandwidth limits of region links, over all instances."""
