"""Shared parts of the review's scripts; only the standard library is used."""
