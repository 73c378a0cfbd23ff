"""What clients and targets may hold of the memory of this process."""
