"""What callers and operators speak to."""
