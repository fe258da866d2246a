"""Quotas, budgets, rate limits, and limits of memory and descriptors."""
