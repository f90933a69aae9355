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

PROBE_PERIOD = 1.0
MAX_PROBES = 16
"""Time between two probes of a failed path, and probes that are due at a time."""

UNUSED_SECONDS = 30.0
"""How long a failed path is probed that no request needs."""

MAX_NEEDED_SENT = 4096
MAX_NEEDED_RECEIVED = 64 * 1024
"""Most bytes of a request, and of a response, that a failed path must carry to count as
working; more than one packet and its window."""

FIRST_TRIAL_PAUSE = 1.0
MAX_TRIAL_PAUSE = 8.0
"""First and longest time between two requests that test a path on which responses break
off; the time doubles with each."""

UNREPEATABLE_TRIAL_SECONDS = 30.0
"""Time after which also a request that may not be repeated tests such a path."""

CHECK_PERIOD = 1.0
MAX_CHECKS = 16
"""Least time between two checks of one path after a lost response, and checks at a
time."""

SUSPECT_SECONDS = 5.0
"""How long after a silent failure older idle connections aren't reused."""

RELAY_MEMORY_SECONDS = 10.0
"""How long it counts whether another host reached an upstream."""

MAX_NAMED_RELAYS = 2
"""Hosts to go through that a grant names."""

EXPLORED_FRACTION = 0.1
"""Fraction of tunnels that are tried through a host that wasn't tried yet."""

MAX_KEPT_PATHS = 4096
"""Failed paths, and results of other hosts, that a host keeps."""
