"""Benchmarks of the project's own code."""
