"""Listeners, metrics, log limits and housekeeping."""
