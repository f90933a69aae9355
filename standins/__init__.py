"""Stand-in upstreams for tests and the demo: a model engine and a plain service."""
