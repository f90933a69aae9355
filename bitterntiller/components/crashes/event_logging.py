"""Log events of crash detection."""

from bitterntiller.components.crashes.fingerprint import format_fingerprint, is_part
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


def log_crash(
    crash: Crash,
    reporter: str,
    count: int,
    quarantined_for: float,
    trials_failed: int,
) -> None:
    """Log that an upstream crashed under a request, or under a part of its prompt.

    quarantined_for is the resulting quarantine in seconds, trials_failed the number of
    crashes under requests that were sent when the ones before were known. ran is the
    time from sending to the crash, None if it isn't known.
    """
    events.emit(
        "upstream-crashed",
        fingerprint=format_fingerprint(crash.fingerprint),
        part=is_part(crash.fingerprint),
        upstream=crash.upstream,
        incarnation=crash.incarnation,
        reporter=reporter,
        crashes=count,
        quarantined_for=round(quarantined_for, 3),
        trials_failed=trials_failed,
        ran=None if crash.ran is None else round(crash.ran, 3),
    )


def log_block(fingerprint: int, reporter: str, seconds: float) -> None:
    """Log that an operator blocks a fingerprint, or with 0 seconds does so no more."""
    events.emit(
        "fingerprint-blocked",
        fingerprint=format_fingerprint(fingerprint),
        part=is_part(fingerprint),
        reporter=reporter,
        seconds=round(seconds, 3),
    )


def log_clearing(fingerprint: int, reporter: str, crashes: int) -> None:
    """Log that the crashes of a request, or of a part of prompts, were cleared."""
    events.emit(
        "crashes-cleared",
        fingerprint=format_fingerprint(fingerprint),
        part=is_part(fingerprint),
        reporter=reporter,
        crashes=crashes,
    )
