"""Run every scenario of the folder files/ against real processes."""

from pathlib import Path

import pytest

from tests.scenarios.deployment import Deployment
from tests.scenarios.runner import Runner

FILES = sorted((Path(__file__).parent / "files").glob("*.scenario"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario(path: Path, tmp_path: Path) -> None:
    """The comment at the head of each file names the failure that it guards against."""
    with Deployment(tmp_path) as deployment:
        Runner(deployment).run(path)
