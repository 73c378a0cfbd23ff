"""Forward requests of published routes to targets, and gather shards."""
