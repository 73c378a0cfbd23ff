"""One request of a caller: admission, attempts, answer and log lines."""
