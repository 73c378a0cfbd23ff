"""Decisions that limit the load on targets and on this instance."""
