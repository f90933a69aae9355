"""A lab for pools of routed requests, with the parameters that such pools run."""
