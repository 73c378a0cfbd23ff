"""Connections to targets, and what exchanges show of them."""
