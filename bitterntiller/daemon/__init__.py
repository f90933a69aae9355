"""The daemon, which sets up and runs all components of a process."""
