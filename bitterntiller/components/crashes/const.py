"""Constants of crash detection; times in seconds."""

QUARANTINE_THRESHOLD = 3
"""Number of upstreams that crash under a request before it is quarantined."""

CAUTIOUS_THRESHOLD = 5
"""The same where the request explains less than EXPLAINED_SHARE of the recent crashes:
upstreams that crash for other reasons crash under innocent requests as well."""

EXPLAINED_SHARE = 0.25
RECENT_SECONDS = 30.0
"""Time up to the latest crash under a request from which crashes are compared."""

FIRST_QUARANTINE_SECONDS = 5.0
"""First quarantine. After it one copy may run, so that a request that was on three
upstreams when they ended for another reason is served soon."""

QUARANTINE_SECONDS = 120.0
"""Quarantine after the first failed trial; each further one doubles it."""

KNOWN_SECONDS = 3.0
"""Time after a crash within which all hosts that can be reached know of it, beside load
too. What was sent earlier is no trial. Less than FIRST_QUARANTINE_SECONDS, after which
trials are sent."""

MAX_QUARANTINE_SECONDS = 24 * 3600.0
RETENTION_SECONDS = 2 * MAX_QUARANTINE_SECONDS
"""Time for which crashes that led to a quarantine are stored."""

SUSPICION_SECONDS = 600.0
"""Time for which fewer crashes are stored, and the time of a clearing."""

MAX_FINGERPRINTS = 4096
"""Maximum number of stored fingerprints; those with fewest crashes go first."""

MAX_BLOCKS = 1024
"""Maximum number of fingerprints that operators block; the oldest go first."""

MAX_BLOCK_SECONDS = 30 * 24 * 3600.0

TIME_TOLERANCE = 0.5
"""Maximum difference in the time of one event between hosts: messages carry its age,
and their delay is unknown."""

REPEAT_LIMIT = 2
"""Number of crashes from which this host doesn't repeat a request by itself."""

PROBE_INTERVAL = 0.25
"""Time between the two refused connections that prove that an upstream has ended. A
single refusal can be due to a full listen backlog."""

PROBE_TIMEOUT = 0.5

EXPLANATION_SECONDS = 1.0
"""Time within which a crash is proved and reported after its response broke."""

REPORT_TIMEOUT = 1.0
REPORT_RETRY_DELAY = 0.3
SYNC_PERIOD = 10.0
"""Time between two exchanges with an owner when there is nothing new."""

OWNER_CHECK_PERIOD = 1.0
"""Time between two checks whether a pool has a new owner."""

MIN_SAVE_INTERVAL = 0.2
SAVE_RETRY_DELAY = 2.0

FINGERPRINT_BYTES = 8
MAX_FINGERPRINT = 2**63 - 1
MAX_KEY_BYTES = 64

METRIC_CRASHES = "crashes.upstream_crashes"
METRIC_QUARANTINED = "crashes.requests_quarantined"
METRIC_CLEARED = "crashes.requests_cleared"
METRIC_TRIALS_FAILED = "crashes.trials_failed"
