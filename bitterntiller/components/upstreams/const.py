"""Constants of the announcements of upstreams."""

ATTR_NAME = "name"
ATTR_SERVICE = "service"
ATTR_ADDRESS = "address"
ATTR_INCARNATION = "incarnation"
ATTR_SEQUENCE = "sequence"
ATTR_STATE = "state"
ATTR_LABELS = "labels"
ATTR_SLOTS = "slots"
ATTR_KV_TOKENS = "kv_tokens"
ATTR_LOAD = "load"
ATTR_RUNNING = "running"
ATTR_WAITING = "waiting"
ATTR_AGE_MS = "age_ms"
ATTR_CACHE_EVENTS = "cache_events"
ATTR_STORED = "stored"
ATTR_PREFIX_HASH = "prefix_hash"

STATES = ("ready", "leaving")
MAX_BODY_BYTES = 1024 * 1024
BODY_MEMORY_PARTS = 16
"""Announcements may take one of so many parts of the memory of the process."""

MAX_CACHE_EVENTS = 10_000
MAX_COUNT = 2**31 - 1
MAX_NUMBER = 2**63 - 1

STATUS_BY_REPLY = {"accepted": 200, "stale": 200, "no-owner": 503}
REPLY_NO_OWNER = "no-owner"

METRIC_ANNOUNCEMENTS = "upstreams.announcements"
METRIC_WRONG_KEY = "upstreams.wrong_key"
