"""Stand-ins for upstreams: a model engine and a plain service, for tests."""
