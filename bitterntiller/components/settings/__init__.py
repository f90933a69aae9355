"""The settings file of one process: reading, checking, defaults."""
