"""The cases (loads and faults) that a run can simulate."""

from bench.models import CaseSpec

CASES_BY_NAME = {
    case.name: case
    for case in (
        CaseSpec("calm"),
        CaseSpec("bursty", bursty=True),
        CaseSpec("slow-engine", slow_speed=0.2),
        CaseSpec("late-reports", report_lag=5.0),
        CaseSpec("lost-events", event_loss=0.3),
        CaseSpec("owner-killed", killed_at=0.5),
        CaseSpec("comebacks", bursty=True, max_retries=2),
    )
}

LOADS = (0.5, 0.8, 1.0, 1.5, 3.0)
UNLOADED_LOAD = 0.2
"""Load of the runs that measure each tier without contention."""
