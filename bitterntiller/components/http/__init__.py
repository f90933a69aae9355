"""HTTP/1.1 with h11: a server for callers and operators, a client for upstreams."""
