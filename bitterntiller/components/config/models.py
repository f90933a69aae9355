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

from typing import NamedTuple


class Selector(NamedTuple):
    """Chooses upstreams by labels.

    An upstream is chosen when for each label in match it has one of the values,
    and for no label in exclude any of the values.
    """

    match: dict[str, tuple[str, ...]] = {}
    exclude: dict[str, tuple[str, ...]] = {}

    def chooses(self, labels: dict[str, str]) -> bool:
        """Tell whether an upstream with these labels is chosen."""
        if any(labels.get(key) not in values for key, values in self.match.items()):
            return False
        return all(
            labels.get(key) not in values for key, values in self.exclude.items()
        )


class Service(NamedTuple):
    """A service: the pool of upstreams that serve some paths."""

    name: str
    kind: str
    paths: tuple[str, ...]
    idempotent_paths: tuple[str, ...]
    selector: Selector
    labels: dict[str, str]


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


class Config(NamedTuple):
    """One version of the configuration."""

    version: int
    services_by_name: dict[str, Service]
    tiers_by_name: dict[str, Tier]
    workspaces_by_name: dict[str, Workspace]
    workspaces_by_token: dict[str, Workspace]
    values_by_label: dict[str, tuple[str, ...]] = {}
