"""Connections to targets and the messages exchanged on them."""
