"""Log events of crash detection."""

from bitterntiller.components.crashes.fingerprint import format_fingerprint
from bitterntiller.components.crashes.models import Crash
from bitterntiller.core import events


def log_probe(request_id: str, upstream: str, address: str, ended: bool) -> None:
    """Log whether the upstream of a broken response has ended."""
    events.emit(
        "upstream-probed",
        request=request_id,
        upstream=upstream,
        address=address,
        ended=ended,
    )


def log_crash(crash: Crash, reporter: str, count: int, quarantined_for: float) -> None:
    """Log that an upstream crashed under a request, with the resulting quarantine."""
    events.emit(
        "upstream-crashed",
        fingerprint=format_fingerprint(crash.fingerprint),
        upstream=crash.upstream,
        incarnation=crash.incarnation,
        reporter=reporter,
        crashes=count,
        quarantined_for=round(quarantined_for, 3),
    )


def log_clearing(fingerprint: int, reporter: str) -> None:
    """Log that the crashes of a request were cleared."""
    events.emit(
        "crashes-cleared",
        fingerprint=format_fingerprint(fingerprint),
        reporter=reporter,
    )
