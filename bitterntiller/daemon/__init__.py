"""The daemon: the wiring of all parts of one process, above the parts."""
