"""The settings file of one process: loading, validation and defaults."""
