"""The pools of two deployments, with invented but plausible speeds."""

from bench.models import PoolSpec, TierSpec, UpstreamProfile, WorkKind

TIERS = (
    TierSpec("gold", 0, 0.18, 1.0),
    TierSpec("silver", 1, 0.37, 1.25),
    TierSpec("bronze", 2, 0.45, 1.5),
)


def _engine(name: str, zone: str, generation: str) -> UpstreamProfile:
    """Return an engine of one of three hardware generations."""
    slots, kv_tokens, cache_tokens, prefill, base, per_sequence = {
        "g1": (12, 120_000, 40_000, 2_500.0, 0.040, 0.0010),
        "g2": (16, 200_000, 60_000, 5_000.0, 0.028, 0.0007),
        "g3": (24, 320_000, 90_000, 9_000.0, 0.020, 0.0005),
    }[generation]
    return UpstreamProfile(
        name,
        zone,
        generation,
        slots,
        kv_tokens,
        cache_tokens,
        prefill,
        base,
        per_sequence,
    )


def _plain(name: str, zone: str, slots: int, unit: float) -> UpstreamProfile:
    """Return a plain service; one unit of work takes unit seconds."""
    return UpstreamProfile(
        name, zone, "plain", slots, 0, 0, float("inf"), unit, 0.0, True
    )


ZAF_ENGINES = PoolSpec(
    name="zaf-engines",
    delay=0.0005,
    hosts=8,
    upstreams=(
        _engine("bole-1", "bole", "g3"),
        _engine("bole-2", "bole", "g1"),
        _engine("kirkos-1", "kirkos", "g2"),
        _engine("yeka-1", "yeka", "g2"),
        _engine("lideta-1", "lideta", "g1"),
    ),
    kinds=(
        WorkKind("tree-question", 0.66, 120, 90, 0.5, 12.0, (512, 1024, 2048)),
        WorkKind("species-tag", 0.22, 700, 20, 0.3, 12.0, (256,)),
        WorkKind("ward-report", 0.12, 7000, 500, 0.5, 75.0, (1024, 2048, 4096)),
    ),
    tiers=TIERS,
    weights_by_workspace={
        "foresters": 0.42,
        "greening": 0.30,
        "associations": 0.15,
        "survey": 0.08,
        "research": 0.05,
    },
)

ZAF_PLAIN = PoolSpec(
    name="zaf-plain",
    delay=0.0005,
    hosts=8,
    upstreams=(
        _plain("map-1", "bole", 6, 0.010),
        _plain("map-2", "kirkos", 6, 0.012),
        _plain("map-3", "yeka", 4, 0.015),
        _plain("map-4", "lideta", 4, 0.020),
    ),
    kinds=(
        WorkKind("tile", 0.9, 30, 70, 0.5, 4.0),
        WorkKind("ward-export", 0.1, 200, 700, 0.5, 40.0),
    ),
    tiers=TIERS,
    weights_by_workspace=ZAF_ENGINES.weights_by_workspace,
)

KESKUS_ENGINES = PoolSpec(
    name="keskus-engines",
    delay=0.0015,
    hosts=6,
    upstreams=(
        _engine("tallinn-1", "tallinn", "g3"),
        _engine("tallinn-2", "tallinn", "g2"),
        _engine("rakvere-1", "rakvere", "g2"),
        _engine("rakvere-2", "rakvere", "g1"),
        _engine("narva-1", "narva", "g2"),
        _engine("narva-2", "narva", "g1"),
    ),
    kinds=(
        WorkKind("status-question", 0.50, 150, 60, 0.5, 10.0, (512, 1024)),
        WorkKind("claim-letter", 0.30, 1200, 350, 0.4, 45.0, (1024, 2048)),
        WorkKind("dossier-review", 0.20, 12000, 400, 0.5, 90.0, (2048, 4096)),
    ),
    tiers=TIERS,
    weights_by_workspace={
        "underwriters": 0.45,
        "portal": 0.28,
        "procurement": 0.14,
        "claims": 0.08,
        "audit": 0.05,
    },
)

KESKUS_PLAIN = PoolSpec(
    name="keskus-plain",
    delay=0.0015,
    hosts=6,
    upstreams=(
        _plain("registry-1", "tallinn", 8, 0.010),
        _plain("registry-2", "rakvere", 6, 0.015),
        _plain("registry-3", "narva", 6, 0.018),
    ),
    kinds=(
        WorkKind("bond-check", 0.85, 40, 80, 0.4, 5.0),
        WorkKind("bond-issue", 0.15, 300, 300, 0.5, 25.0),
    ),
    tiers=TIERS,
    weights_by_workspace=KESKUS_ENGINES.weights_by_workspace,
)

POOLS_BY_NAME = {
    pool.name: pool for pool in (ZAF_ENGINES, ZAF_PLAIN, KESKUS_ENGINES, KESKUS_PLAIN)
}
