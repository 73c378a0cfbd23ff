"""Clients of the platform: read and watch, never write."""
