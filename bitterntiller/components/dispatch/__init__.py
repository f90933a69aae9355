"""The owner of a pool: its queue, its upstreams, its grants."""
