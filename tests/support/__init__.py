"""Small fakes at the interfaces, and the world of a scenario."""
