"""Deployments to simulate, read from sheets.json: engines, request kinds, worth."""

import json
from pathlib import Path
from typing import NamedTuple

from bench.models import UpstreamProfile

_PATH = Path(__file__).with_name("sheets.json")


class Kind(NamedTuple):
    """A kind of request; times in seconds, sizes in tokens, worth as its users state.

    prompt and events are means of log-normal sizes, and their spreads are sigmas. A
    response is worth worth if its first output arrives within objective, late if it
    arrives later. Callers disconnect if they have no first output after patience.
    subjects is the number of different shared prompt prefixes.
    """

    name: str
    rank: int
    per_s: float
    prompt: float
    prompt_spread: float
    events: float
    event_spread: float
    objective: float
    patience: float
    deadline: float
    worth: float
    late: float
    subjects: int


class Sheet(NamedTuple):
    """One deployment: its engines, its hosts and the requests of its callers."""

    name: str
    delay: float
    hosts: int
    engines: int
    slots: int
    kv_tokens: int
    step_ms: float
    step_ms_per_slot: float
    prefill_tokens_per_ms: float
    speeds: tuple[float, ...]
    tokens_per_event: int
    workspace_shares: tuple[float, ...]
    kinds: tuple[Kind, ...]

    def profile(self, number: int) -> UpstreamProfile:
        """Return the profile of an engine; speeds are assigned round-robin."""
        pace = 1 / self.speeds[number % len(self.speeds)]
        return UpstreamProfile(
            name=f"engine-{number}",
            zone="zone",
            generation="",
            slots=self.slots,
            kv_tokens=self.kv_tokens,
            cache_tokens=self.kv_tokens // 2,
            prefill_speed=self.prefill_tokens_per_ms * 1000 / pace,
            step_base=self.step_ms / 1000 * pace,
            step_per_sequence=self.step_ms_per_slot / 1000 * pace,
        )


def load_sheets() -> dict[str, Sheet]:
    """Return the sheets by name."""
    document = json.loads(_PATH.read_text())
    return {name: _sheet(name, fields) for name, fields in document.items()}


def _sheet(name: str, fields: dict) -> Sheet:
    kinds = tuple(Kind(**kind) for kind in fields["kinds"])
    lists = {key: tuple(fields[key]) for key in ("speeds", "workspace_shares")}
    return Sheet(**{**fields, **lists, "name": name, "kinds": kinds})
