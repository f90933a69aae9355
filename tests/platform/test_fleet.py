"""The processes that tests of the platform start."""

from pathlib import Path

import pytest

from tests.platform import processes
from tests.platform.processes import Fleet


class UnconfiguredFleet(Fleet):
    """A fleet whose first configuration is never accepted."""

    def order(self, method: str, path: str, body: object = None) -> tuple[int, None]:
        return 503, None


def test_processes_end_if_the_first_configuration_fails(tmp_path: Path, monkeypatch):
    """A test that failed while its fleet started left the processes running."""
    monkeypatch.setattr(processes, "PATIENCE", 0.2)
    fleet = UnconfiguredFleet(tmp_path)
    with pytest.raises(AssertionError, match="not in time"), fleet:
        pass
    codes = [process.exit_code() for process in fleet.process_by_ip.values()]
    assert len(codes) == 4
    assert None not in codes
