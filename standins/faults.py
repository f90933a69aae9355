"""Faults that a test can inject into a stand-in."""

import random
from dataclasses import dataclass, fields
from typing import Any


@dataclass
class Faults:
    """The faults in effect. times limits how many requests they affect; -1: no limit.

    POST /v1/faults sets the given fields and resets all others to their defaults.
    """

    times: int = -1
    delay_s: float = 0.0  # before the first byte of a response
    reset_after: int = -1  # events; for JSON responses 0: reset without a response
    stall_after: int = -1  # events, then nothing on an open connection
    end_after: int = -1  # events, then a clean end without the [DONE] event
    wrong_id: bool = False  # echoes another request's id
    slow: float = 1.0  # factor on all processing times
    not_admit: bool = False  # 503 with X-Admitted: false
    shed: float = 0.0  # fraction of requests that get such a refusal
    retry_after: float = 1.0  # seconds named in refusals
    refuse_connect: bool = False  # the listening socket is closed
    drop_answers: bool = False  # runs the request, then resets without a response
    forget: bool = False  # resume responds with 404
    silent: bool = False  # no announcements
    leaving: bool = False  # announces that it is leaving, but keeps running
    say_leaving: bool = False  # says so in responses only, and announces ready
    fail: float = 0.0  # fraction of requests that get a 500 response
    rate_limit: float = -1.0  # requests per second named in responses; -1: none
    old_sequence: bool = False  # announces old sequence numbers

    def set(self, document: dict[str, Any]) -> None:
        """Replace all faults; raise ValueError for an unknown name."""
        known = {field.name: field.default for field in fields(self)}
        unknown = set(document) - set(known)
        if unknown:
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        for name, value in (known | document).items():
            setattr(self, name, value)

    def refuses(self) -> bool:
        """Decide whether to refuse the next request."""
        return self.not_admit or random.random() < self.shed

    def consume(self) -> "Faults":
        """Return the faults for the next request, and count it against times."""
        if self.times == 0:
            return Faults()
        if self.times > 0:
            self.times -= 1
        return Faults(**vars(self))
