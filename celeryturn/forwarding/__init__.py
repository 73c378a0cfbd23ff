"""Forward requests to targets by published routes and gather shards."""
