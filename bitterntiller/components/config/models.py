"""The parsed configuration, as all other parts see it.

The JSON document has three mappings, by name, and may have a fourth, labels:
the values that the labels of upstreams can have, which only the check of
selectors uses:

    {
      "services": {
        "canopy-llm": {
          "kind": "engine",                 // or "plain"
          "paths": ["/v1/chat/completions"],  // path prefixes of callers
          "idempotent_paths": [],           // POSTs here may be repeated
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
          "tier": "gold",                   // the highest it may ask for
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
    """Chooses upstreams by labels.

    An upstream is chosen when for each label in match it has one of the values,
    and for no label in exclude any of the values.
    """

    match: dict[str, tuple[str, ...]] = {}
    exclude: dict[str, tuple[str, ...]] = {}

    def matches(self, labels: dict[str, str]) -> bool:
        """Tell whether an upstream with these labels is chosen."""
        if any(labels.get(key) not in values for key, values in self.match.items()):
            return False
        return all(
            labels.get(key) not in values for key, values in self.exclude.items()
        )


class RouteKind(StrEnum):
    """What may be sent again, and how a route answers."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    RESUMABLE = "resumable"


class Share(NamedTuple):
    """The part of a route's requests that goes to a service, by weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """The requests of one host name below one path prefix.

    timeout is the longest time a caller is kept waiting, objective the time to
    the first output that is still good, pause the longest good time between two
    outputs of a stream (0: none is set); all in seconds. After patience seconds without
    a first output a caller gives up. max_attempts is on how
    many upstreams one request may run. The rank of a workspace goes before the
    rank of the route.
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
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.RESUMABLE)

    @property
    def streams(self) -> bool:
        """Tell whether the answer is a stream of events."""
        return self.kind in (RouteKind.STREAM, RouteKind.RESUMABLE)


class Quota(NamedTuple):
    """What a workspace may use over all hosts, in its unit and in it a second.

    The unit is a request, or a token where counts_tokens; default_amount is what a
    request that states no tokens counts for.
    """

    rate: float
    burst: float
    counts_tokens: bool
    default_amount: int


class CallerLimits(NamedTuple):
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    head_bytes: int
    body_bytes: int
    head_timeout: float
    idle_timeout: float


class Service(NamedTuple):
    """A service: the pool of upstreams that serve some paths.

    max_connections bounds the connections to one upstream over all hosts, 0 for
    no bound. kv_tokens is an engine's memory where the configuration tells it.
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


class Tier(NamedTuple):
    """A tier of requests; rank 0 is the most important."""

    name: str
    rank: int
    deadline_ms: int
    selector: Selector


class Workspace(NamedTuple):
    """A customer's workspace, known by the SHA-256 of its bearer tokens."""

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

    With routes, these tell the service of a request and not the paths of the
    services; routes_by_host holds them by host name and then by path prefix. A
    deployment without workspaces takes requests without a token.
    """

    version: int
    services_by_name: dict[str, Service]
    tiers_by_name: dict[str, Tier]
    workspaces_by_name: dict[str, Workspace]
    workspaces_by_token: dict[str, Workspace]
    values_by_label: dict[str, tuple[str, ...]] = {}
    routes_by_host: dict[str, dict[str, Route]] = {}
    caller_limits: CallerLimits | None = None
