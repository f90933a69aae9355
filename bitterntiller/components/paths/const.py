"""Constants of paths between hosts and upstreams; times in seconds."""

FRESH_SECONDS = 1.0
"""How long the success of one host shows that the failure of another is that of its
path. An upstream that has ended is taken for reachable that long at most."""

LOST_TO_FAILED = 3
"""Consecutive lost responses after which a path counts as failed. A connection that
isn't established counts at once."""

FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 2.0
"""First and longest time for which a host gets no requests for an upstream that it does
not reach; the time doubles with each failure."""

KEPT_SECONDS = 30.0
"""How long failures and successes are kept."""

MAX_REACHING_HOSTS = 16
"""Hosts kept for each upstream that reached it last."""
