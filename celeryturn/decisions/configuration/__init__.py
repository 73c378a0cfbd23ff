"""Which published configuration is in use, and how fresh it is."""
