"""The commands of the tool, one a module."""
