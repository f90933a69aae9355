"""Messages of replicas as frames of links."""

import pytest

from bitterntiller.components.replication.wire import WIRE_TYPES
from bitterntiller.protocol import KIND_BY_TYPE


@pytest.mark.parametrize("cls", WIRE_TYPES, ids=lambda cls: cls.__name__)
def test_each_message_of_a_replica_can_be_framed(cls: type):
    assert cls in KIND_BY_TYPE
