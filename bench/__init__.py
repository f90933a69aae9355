"""Experiments that drive the product's decision code on a fake clock."""
