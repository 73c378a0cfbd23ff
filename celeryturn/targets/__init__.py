"""Connections to targets, and what is said on them."""
