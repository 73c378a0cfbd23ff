"""Small stand-ins of the platform and of targets, for tests and examples.

They are no part of the product and nothing of it imports them.
"""
