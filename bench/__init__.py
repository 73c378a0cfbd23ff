"""Measurements of the project's own code."""
