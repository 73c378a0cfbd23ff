"""Development tools: checks of the code and generators of pages."""
