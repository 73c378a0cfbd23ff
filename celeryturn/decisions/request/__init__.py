"""Decisions on one request: where to send it, and when to stop."""
