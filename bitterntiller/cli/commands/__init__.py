"""The commands of the tool, one per module."""
