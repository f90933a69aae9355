"""Bytes without end from an engine must not fill the memory of the hosts."""

import pytest

from tests.platform.endless_memory import CASES, CONNECTIONS, growth

SECONDS = 1.0
MOST_MEGABYTES = 2 * CONNECTIONS
"""An event of a stream may have 1 MiB, and is held twice as it is parsed."""


@pytest.mark.parametrize("name", CASES)
def test_memory_of_a_host_is_bounded_whatever_engines_send(name):
    assert growth(name, SECONDS) < MOST_MEGABYTES
