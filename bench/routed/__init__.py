"""Simulations of pools that serve routed requests, with their parameters."""
