"""Test doubles at the interfaces and the environment of scenarios."""
