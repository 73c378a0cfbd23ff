"""A seeded simulation of targets, instances and callers with its own clock.

It calls the product's decision functions without sockets, so that a day of
load takes seconds. The same seed reproduces the same day.
"""
