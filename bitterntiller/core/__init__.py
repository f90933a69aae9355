"""Types and helpers that all components share."""
