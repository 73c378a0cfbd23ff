"""Known instances of the fleet, and which of them callers use."""
