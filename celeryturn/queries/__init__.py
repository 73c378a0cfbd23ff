"""Read paths, which do not modify data at the targets."""
