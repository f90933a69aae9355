"""The parsed configuration.

The JSON document has three mappings by name, and optionally a fourth one, labels. It
declares the values that labels of upstreams can have, and only the check of selectors
uses it:

    {
      "services": {
        "canopy-llm": {
          "kind": "engine",                 // or "plain"
          "paths": ["/v1/chat/completions"],  // path prefixes of callers
          "idempotent_paths": [],           // POSTs here may be retried
          "selector": {"match": {"model": ["canopy"]}, "exclude": {}},
          "labels": {"order_seconds": "120"}
        }
      },
      "tiers": {
        "gold": {"rank": 0, "deadline_ms": 30000, "selector": {}}
      },
      "workspaces": {
        "foresters": {
          "token_sha256": ["<64 hex digits>"],
          "tier": "gold",                   // the highest it may request
          "services": ["canopy-llm"],
          "selector": {},
          "labels": {"share": "2", "concurrency": "64", "rate": "50"}
        }
      },
      "labels": {"model": ["canopy"], "zone": ["bole", "kirkos"]}
    }
"""

from enum import StrEnum
from typing import NamedTuple


class Selector(NamedTuple):
    """Selects upstreams by their labels.

    An upstream matches if it has one of the values of each label in match, and none of
    the values of any label in exclude.
    """

    match: dict[str, tuple[str, ...]] = {}
    exclude: dict[str, tuple[str, ...]] = {}

    def matches(self, labels: dict[str, str]) -> bool:
        """Return whether an upstream with these labels matches."""
        if any(labels.get(key) not in values for key, values in self.match.items()):
            return False
        return all(
            labels.get(key) not in values for key, values in self.exclude.items()
        )


class RouteKind(StrEnum):
    """Whether requests of a route may be retried, and how it responds."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    RESUMABLE = "resumable"


class Share(NamedTuple):
    """The share of a route's requests that goes to a service, by weight."""

    service: str
    weight: float


RouteKey = tuple[str, str]
"""Host name and path prefix of a route, which no two routes share."""


class Route(NamedTuple):
    """The requests of one host name below one path prefix.

    timeout is the maximum time a caller waits, objective the target for the time to the
    first output, and target_output_interval the target for the time between two
    outputs of a stream (0 if not set), all in seconds. A caller is assumed to give up
    after patience seconds without a first output. max_attempts is the number of
    upstreams on which one request may run. The rank of a workspace takes precedence
    over the rank of the route.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout: float
    objective: float
    target_output_interval: float
    patience: float
    max_attempts: int
    rank: int
    public: bool

    @property
    def key(self) -> RouteKey:
        """Return what tells the route from all others."""
        return self.host, self.prefix

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.RESUMABLE)

    @property
    def streams(self) -> bool:
        """Return whether the response is a stream of events."""
        return self.kind in (RouteKind.STREAM, RouteKind.RESUMABLE)


class Quota(NamedTuple):
    """The quota of a workspace over all hosts.

    rate is in units per second and burst in units. The unit is a request, or a token
    with counts_tokens; default_amount is what a request counts that states no tokens.
    """

    rate: float
    burst: float
    counts_tokens: bool
    default_amount: int


class CallerLimits(NamedTuple):
    """Limits on what a caller sends, in bytes, and on how long it takes, in seconds."""

    head_bytes: int
    body_bytes: int
    head_timeout: float
    idle_timeout: float


class Service(NamedTuple):
    """A service: the pool of upstreams that serve some paths.

    max_connections limits the connections to one upstream over all hosts; 0 means no
    limit. kv_tokens is the memory of an engine, if the configuration contains it.
    health_path is the target of health checks of its upstreams, if it is stated.
    """

    name: str
    kind: str
    paths: tuple[str, ...]
    idempotent_paths: tuple[str, ...]
    selector: Selector
    labels: dict[str, str]
    max_connections: int = 0
    kv_tokens: int = 0
    tokens_per_event: int = 1
    health_path: str = ""


class Tier(NamedTuple):
    """A tier of requests; rank 0 has the highest priority."""

    name: str
    rank: int
    deadline_ms: int
    selector: Selector


class Workspace(NamedTuple):
    """A customer's workspace, identified by the SHA-256 of its bearer tokens."""

    name: str
    token_sha256: tuple[str, ...]
    tier: str
    services: tuple[str, ...]
    selector: Selector
    labels: dict[str, str]
    rank: int = 0
    quota: Quota | None = None


class Config(NamedTuple):
    """One version of the configuration.

    If there are routes, they determine the service of a request instead of the paths of
    the services; routes_by_host holds them by host name and path prefix. A deployment
    without workspaces accepts requests without a token.
    """

    version: int
    services_by_name: dict[str, Service]
    tiers_by_name: dict[str, Tier]
    workspaces_by_name: dict[str, Workspace]
    workspaces_by_token: dict[str, Workspace]
    values_by_label: dict[str, tuple[str, ...]] = {}
    routes_by_host: dict[str, dict[str, Route]] = {}
    caller_limits: CallerLimits | None = None
