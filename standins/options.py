"""The options that both stand-ins take."""

import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Parse an IP number and a port."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)


@dataclass(kw_only=True)
class Options:
    """Where a stand-in listens, what it is called and to whom it announces.

    Addresses are IP:port, several of them parted by commas, as labels key=value are.
    """

    listen: Annotated[str, cappa.Arg(long=True)]
    name: Annotated[str, cappa.Arg(long=True)]
    service: Annotated[str, cappa.Arg(long=True)]
    announce: Annotated[str, cappa.Arg(long=True)] = ""
    key_file: Annotated[Path | None, cappa.Arg(long=True)] = None
    labels: Annotated[str, cappa.Arg(long=True)] = ""
    record: Annotated[Path | None, cappa.Arg(long=True)] = None
    control: Annotated[str, cappa.Arg(long=True)] = ""
    """A second address for faults, which stays open while listen is closed."""
    slots: Annotated[int, cappa.Arg(long=True)] = 16
    limit: Annotated[int, cappa.Arg(long=True)] = 1000
    """Requests held at once; the next is answered 503, X-Admitted: false."""
    kv_tokens: Annotated[int, cappa.Arg(long=True)] = 100_000
    incarnation: Annotated[int, cappa.Arg(long=True)] = field(
        default_factory=lambda: time.time_ns() // 1_000_000
    )
    load_lag_ms: Annotated[int, cappa.Arg(long=True)] = 400
    leave_s: Annotated[float, cappa.Arg(long=True)] = 3.0
    """Seconds between the signal to leave and the earliest exit."""

    @property
    def entry_hosts(self) -> list[Address]:
        return [parse_address(part) for part in self.announce.split(",") if part]

    @property
    def labels_by_key(self) -> dict[str, str]:
        return dict(pair.split("=", 1) for pair in self.labels.split(",") if pair)
