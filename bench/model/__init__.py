"""A seeded model of targets, instances and callers, with its own clock.

It drives the product's decision functions without sockets: a day of load takes
seconds, and the same seed gives the same day.
"""
