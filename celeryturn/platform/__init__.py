"""Clients of the platform, which read and watch but never write."""
