"""The faults that a tester can order from a stand-in."""

from dataclasses import dataclass, fields
from typing import Any


@dataclass
class Faults:
    """What goes wrong now. times bounds how many requests are hit; -1: no bound.

    POST /v1/faults sets the named fields and puts all others back to none.
    """

    times: int = -1
    delay_s: float = 0.0  # before the first byte of an answer
    reset_after: int = -1  # events or, with plain answers, 0: reset unanswered
    stall_after: int = -1  # events, then silence on an open connection
    end_after: int = -1  # events, then a clean end without the end mark
    wrong_id: bool = False  # echoes another request's id
    slow: float = 1.0  # factor on all working times
    not_admit: bool = False  # 503 with X-Admitted: false
    refuse_connect: bool = False  # the listening socket is closed
    drop_answers: bool = False  # the work is done, the connection closed unanswered
    forget: bool = False  # resume answers 404
    silent: bool = False  # no announcements
    leaving: bool = False  # announces that it leaves, and goes on
    fail: float = 0.0  # part of the requests that are answered 500
    rate_limit: float = -1.0  # requests a second that answers name; -1: none
    old_sequence: bool = False  # announces old sequence numbers

    def set(self, document: dict[str, Any]) -> None:
        """Take new faults; raise ValueError for one that is not known."""
        known = {field.name: field.default for field in fields(self)}
        unknown = set(document) - set(known)
        if unknown:
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        for name, value in (known | document).items():
            setattr(self, name, value)

    def consume(self) -> "Faults":
        """Return the faults that hit the request that arrives now."""
        if self.times == 0:
            return Faults()
        if self.times > 0:
            self.times -= 1
        return Faults(**vars(self))
