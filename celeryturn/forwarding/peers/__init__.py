"""What instances tell each other of routes, targets and load."""
