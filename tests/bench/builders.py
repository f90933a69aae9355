"""Builders for the tests of the simulations."""

from bench.engine import Job, UpstreamModel
from bench.models import OfferedRequest, RunSpec, UpstreamProfile

PROFILE = UpstreamProfile("one", "bole", "g2", 4, 10_000, 4_096, 1000.0, 0.02, 0.005)


def make_request(number=1, prompt=1000, output=101, hashes=(), shared=0, **fields):
    values = {
        "number": number,
        "at": 0.0,
        "workspace": "foresters",
        "tier": "gold",
        "tier_rank": 0,
        "kind": "tree-question",
        "prompt": prompt,
        "prompt_estimate": prompt,
        "output": output,
        "output_estimate": output,
        "shared": shared,
        "deadline": 60.0,
        "prefix_hashes": hashes,
        "host": 0,
    }
    return OfferedRequest(**{**values, **fields})


def make_spec(**fields):
    values = {
        "pool": "zaf-engines",
        "case": "calm",
        "load": 0.5,
        "seed": 1,
        "scheduler": "least-outstanding",
        "duration": 40.0,
    }
    return RunSpec(**{**values, **fields})


class Recorder:
    """An upstream model, with the times of its jobs' first tokens and ends."""

    def __init__(self, profile=PROFILE):
        self.first_by_id = {}
        self.finished_by_id = {}
        self.upstream = UpstreamModel(profile, self._first, self._finish, set())

    def _first(self, job: Job, now: float):
        self.first_by_id[job.request_id] = now

    def _finish(self, job: Job, now: float):
        self.finished_by_id[job.request_id] = now
