"""A request scheduler for unlike model engines and the plain services beside them."""
