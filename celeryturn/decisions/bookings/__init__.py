"""Decisions on requests that may run at most once."""
