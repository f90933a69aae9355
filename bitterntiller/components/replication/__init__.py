"""The replicated log: the same commands in the same order on all replicas."""
