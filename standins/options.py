"""Command-line options shared by both stand-ins."""

import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Parse IP:port."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)


@dataclass(kw_only=True)
class Options:
    """Address, name and labels of a stand-in, and the hosts that it announces to.

    Addresses are IP:port. Lists of addresses and key=value labels are separated by
    commas.
    """

    listen: Annotated[str, cappa.Arg(long=True)]
    name: Annotated[str, cappa.Arg(long=True)]
    service: Annotated[str, cappa.Arg(long=True)]
    announce: Annotated[str, cappa.Arg(long=True)] = ""
    key_file: Annotated[Path | None, cappa.Arg(long=True)] = None
    labels: Annotated[str, cappa.Arg(long=True)] = ""
    record: Annotated[Path | None, cappa.Arg(long=True)] = None
    control: Annotated[str, cappa.Arg(long=True)] = ""
    """A second address for fault injection, open also while listen is closed."""
    slots: Annotated[int, cappa.Arg(long=True)] = 16
    limit: Annotated[int, cappa.Arg(long=True)] = 1000
    """Maximum concurrent requests; further ones get 503 with X-Admitted: false."""
    kv_tokens: Annotated[int, cappa.Arg(long=True)] = 100_000
    incarnation: Annotated[int, cappa.Arg(long=True)] = field(
        default_factory=lambda: time.time_ns() // 1_000_000
    )
    load_lag_ms: Annotated[int, cappa.Arg(long=True)] = 400
    leave_s: Annotated[float, cappa.Arg(long=True)] = 3.0
    """Minimum seconds between SIGTERM and exit."""

    @property
    def entry_hosts(self) -> list[Address]:
        return [parse_address(part) for part in self.announce.split(",") if part]

    @property
    def labels_by_key(self) -> dict[str, str]:
        return dict(pair.split("=", 1) for pair in self.labels.split(",") if pair)
