"""A fleet in one process: real peer code on a simulated clock and network."""
