"""Measurements and experiments."""
