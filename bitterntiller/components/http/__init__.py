"""HTTP over h11: the server for callers and operators, the client for upstreams."""
