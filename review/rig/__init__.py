"""A small fleet on loopback addresses for the scripts of the cases 6 to 10."""
