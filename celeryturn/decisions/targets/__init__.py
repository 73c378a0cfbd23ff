"""Observed state of targets, and which of them exist."""
