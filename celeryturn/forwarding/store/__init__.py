"""Reading of the platform's store."""
