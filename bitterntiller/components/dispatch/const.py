"""Constants of the dispatch part: defaults, units and names of labels."""

KIND_ENGINE = "engine"
KIND_PLAIN = "plain"

DEFAULT_GRANT_SECONDS = 1.0
DEFAULT_GRANT_GRACE_SECONDS = 0.5
DEFAULT_SILENCE_SECONDS = 3.0
DEFAULT_NO_UPSTREAM_SECONDS = 3.0
DEFAULT_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0

LEAVING_REASONS = frozenset({"refused-connection", "not-admitted"})
