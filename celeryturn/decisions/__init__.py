"""Decision logic: functions over explicit state, without I/O.

Nothing in this package imports an event loop, a socket, a clock, a logger
or a source of randomness.  Times and random numbers are passed in as
arguments; timers, sends and cancellations are returned as actions.

The folders say what is decided about: a ``request``, the ``load`` on targets
and on this instance, the ``targets``, the published ``configuration``, the
``fleet`` of instances, and ``bookings``.
"""
