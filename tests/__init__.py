"""Tests, in folders that mirror the structure of the package."""
