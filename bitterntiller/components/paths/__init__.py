"""Which hosts reach which upstreams; decisions only, without I/O."""
