"""Names that were retired don't come back into the product."""

import ast
from collections.abc import Iterator

import pytest

from tests.docs.source import ROOT

REPLACEMENT_BY_RETIRED = {
    "Booking": "RetryReservation",
    "EarlyMessages": "OwnershipBuffer",
    "Entrance": "AdmissionChecks",
    "Fading": "DecayingSum",
    "NewsFeed": "UpstreamEvents",
    "QuotaDesk": "QuotaService",
    "QuotaLine": "QuotaQueue",
    "RecentMost": "WindowedMaximum",
    "Relayed": "RelayResult",
    "ReportDesk": "ReportReceiver",
    "Story": "RequestTrace",
    "Teacher": "Estimator",
    "ToldMarks": "AcknowledgedPositions",
    "Untold": "UnacknowledgedUse",
    "UntoldEndings": "UnacknowledgedEnds",
    "UpstreamNews": "UpstreamEvent",
    "Wanted": "DesiredOrder",
    "Wish": "RepairCommand",
    "booked": "retry_reserved",
    "comeback": "latest_retry",
    "even_share": "max_min_share",
    "likeness": "retry_fingerprint",
    "take_news": "take_events",
    "untold": "unacknowledged, or default_amount of a quota",
}
RETIRED_MODULES = {
    "counted": "quota_summary",
    "early": "ownership_buffer",
    "entrance": "admission_checks",
    "explaining": "request_trace",
    "fading": "decaying",
    "joining": "join_decisions",
    "news": "upstream_events",
    "quota_desk": "quota_service",
    "quota_line": "quota_queue",
    "quota_returns": "retry_reservations",
    "summing": "log_summary",
    "teacher": "estimator",
    "telling": "event_logging",
    "told": "acknowledged",
    "wanted": "desired_orders",
}
SOURCES = [
    path
    for folder in ("bitterntiller", "platform")
    for path in ROOT.glob(f"{folder}/**/*.py")
]


def names_of(tree: ast.AST) -> Iterator[str]:
    """Yield the names that a module defines, takes and uses."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            yield node.name
        elif isinstance(node, ast.Name):
            yield node.id
        elif isinstance(node, ast.Attribute):
            yield node.attr
        elif isinstance(node, ast.arg | ast.keyword) and node.arg:
            yield node.arg


@pytest.mark.parametrize(
    "retired", [*REPLACEMENT_BY_RETIRED], ids=REPLACEMENT_BY_RETIRED.get
)
def test_retired_name_is_used_nowhere(retired, names_by_path):
    """A reader meets two names for one thing."""
    used = [path for path, names in names_by_path.items() if retired in names]
    assert not used, f"{retired} is {REPLACEMENT_BY_RETIRED[retired]} now"


def test_retired_module_is_not_there():
    """A reader looks for a part under a name that it had once."""
    found = [str(path) for path in SOURCES if path.stem in RETIRED_MODULES]
    assert not found


@pytest.fixture(scope="module")
def names_by_path() -> dict[str, set[str]]:
    """Return the names in each module, without leading underscores."""
    return {
        str(path.relative_to(ROOT)): {
            name.lstrip("_") for name in names_of(ast.parse(path.read_text()))
        }
        for path in SOURCES
    }
