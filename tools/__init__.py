"""Tools of the project itself: checks and generated pages."""
