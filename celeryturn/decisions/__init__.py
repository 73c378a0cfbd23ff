"""The policy: plain functions over plain state.

Nothing in this package imports an event loop, a socket, a clock, a logger
or a source of randomness.  Times and random numbers are arguments; timers,
sends and cancellations are returned as actions.
"""
