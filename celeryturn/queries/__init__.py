"""Read paths: they change nothing at the targets."""
