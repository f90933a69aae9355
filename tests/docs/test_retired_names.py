"""Names that were retired don't come back into the product."""

import ast
from collections.abc import Iterator

import pytest

from tests.docs.source import ROOT

pytestmark = pytest.mark.xdist_group("retired-names")

REPLACEMENT_BY_RETIRED = {
    "Admission": "WaitEstimator",
    "AnswerTimes": "ResponseTimes",
    "Ask": "QuotaRequest",
    "Booking": "RetryReservation",
    "BrokenAnswerError": "IncompleteResponseError",
    "CallSeconds": "CallDurations",
    "Canaries": "CanaryPicker",
    "Choice": "PickResult",
    "Chooser": "UpstreamPicker",
    "Claimant": "ClaimClient",
    "ConfirmBatch": "ConfirmationBatcher",
    "CountBasis": "QuotaContext",
    "DerivedOwners": "RendezvousOwners",
    "EarlyMessages": "OwnershipBuffer",
    "Endings": "EndedRequestLog",
    "Entrance": "AdmissionChecks",
    "Estimator": "ModelUpdater",
    "Fading": "DecayingSum",
    "ForeignAnswerError": "OrderMismatchError",
    "Granting": "GrantLoop",
    "HistoryKeeper": "HistoryStore",
    "Hold": "QuotaHold",
    "Identified": "IdentifiedRequest",
    "Interface": "HttpDialect",
    "Members": "Membership",
    "NativeInterface": "NativeDialect",
    "NewsFeed": "UpstreamEvents",
    "OrderAnswer": "OrderOutcome",
    "OrderIntents": "OrderClaims",
    "OwnOwner": "SelfOwner",
    "OwnerWatch": "OwnerMonitor",
    "Patience": "WaitDeadlines",
    "PlatformInterface": "PlatformDialect",
    "PoolsOwner": "RolloutPools",
    "Proposed": "CommandOutcome",
    "Proposing": "Proposer",
    "QuotaDesk": "QuotaService",
    "QuotaLine": "QuotaQueue",
    "Reads": "PendingReads",
    "Received": "ReceivedRequest",
    "RecentMost": "WindowedMaximum",
    "Relayed": "RelayResult",
    "RepairState": "RepairStatus",
    "Repairs": "Repairer",
    "ReportDesk": "ReportReceiver",
    "Restored": "PersistentState",
    "ReturnState": "StartupCheck",
    "ServedPart": "RequestGroup",
    "SettingsFollower": "SettingsReloader",
    "Sizes": "SizeEstimator",
    "SlowTimes": "SlowThreshold",
    "StatedWork": "DeclaredWork",
    "Story": "RequestTrace",
    "Teacher": "ModelUpdater",
    "ToldMarks": "AcknowledgedPositions",
    "TriedPool": "PoolInRollout",
    "Untold": "UnacknowledgedUse",
    "UntoldEndings": "UnacknowledgedEnds",
    "UpstreamNews": "UpstreamEvent",
    "Views": "UpstreamViews",
    "Waiter": "QueuedRequest",
    "Wanted": "DesiredOrder",
    "Wish": "RepairCommand",
    "add_lost_listener": "add_disconnect_listener",
    "ask_read": "request_read_index",
    "async_beat": "async_send_heartbeat",
    "async_hand_over": "async_transfer_leadership",
    "async_judge": "async_evaluate",
    "async_leader_known": "async_wait_for_leader",
    "async_lease_due": "async_wait_for_lease",
    "async_serve_whole": "async_serve_buffered",
    "async_setup_chosen": "async_setup_registered",
    "best_case": "min_service_seconds",
    "booked": "retry_reserved",
    "come_back": "retry_later",
    "comeback": "latest_retry",
    "completes_at": "completion_time",
    "dispatchers": "assignable_sessions",
    "even_share": "max_min_share",
    "find_worst": "find_strongest",
    "first_election": "first_election_spacing",
    "forget_old": "expire_reservations",
    "hand_over": "transfer_leadership",
    "has_gone": "can_be_forgotten",
    "hasten_deadline": "start_first_election_timer",
    "hear": "record_heartbeat, or record_announcement",
    "hears_quorum": "is_quorum_active",
    "hosts_complete": "owner_lease_elapsed",
    "is_sound": "is_healthy",
    "lapse": "expire_grant",
    "lapsed": "check_expiry, or expired",
    "likeness": "retry_fingerprint",
    "lines_of": "open_logs",
    "make_fed_scheduler": "make_registered_scheduler",
    "mark_lost": "requeue_after_run",
    "mark_not_run": "requeue_not_run",
    "note_tried": "requeue_unsent",
    "notice_silence": "enable_keepalive",
    "put_off_election": "start_retry_timer",
    "slots_in_use": "usable_slots",
    "survives": "failure_tolerance",
    "take_news": "take_events",
    "take_room": "reserve_body",
    "thaw": "refresh_due",
    "untold": "unacknowledged, or default_amount of a quota",
    "weigh_by_ratio": "weigh_by_likelihood_ratio",
}
RETIRED_MODULES = {
    "admission": "wait_estimator",
    "answer_times": "response_times",
    "applying": "change_sender",
    "canaries": "canary_picker",
    "checking": "file_checks",
    "choice": "picker",
    "counted": "quota_summary",
    "course": "progression",
    "dialling": "tcp",
    "drain": "rate_meters",
    "early": "ownership_buffer",
    "endings": "ended_requests",
    "entrance": "admission_checks",
    "explaining": "request_trace",
    "estimator": "model_updater",
    "fading": "decaying",
    "granting": "grant_loop",
    "intent": "claims",
    "interface": "dialect",
    "joining": "join_decisions",
    "judgement": "canary_analysis",
    "keeper": "store",
    "native": "native_dialect",
    "news": "upstream_events",
    "owner_watch": "owner_monitor",
    "patience": "wait_deadlines",
    "quota_desk": "quota_service",
    "quota_line": "quota_queue",
    "quota_returns": "retry_reservations",
    "reads": "read_index",
    "receive": "request_parsing",
    "refuse": "refusal_responses",
    "repair": "repair_decisions",
    "repairing": "repair_sender",
    "repairs": "repairer",
    "returning": "startup_check",
    "served_parts": "served_counts",
    "sizes": "size_estimator",
    "summing": "log_summary",
    "teacher": "model_updater",
    "telling": "event_logging",
    "told": "acknowledged",
    "typical": "typical_prefill",
    "waiting": "registration",
    "wanted": "desired_orders",
    "whole": "buffered",
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
