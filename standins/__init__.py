"""Stand-ins for the platform and the targets, for tests and examples.

They are not part of the product, and no module of ``celeryturn`` imports them.
"""
