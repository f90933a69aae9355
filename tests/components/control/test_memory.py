"""What control keeps of configurations, in bytes."""

import json
import random

from bitterntiller.components.control.config_copies import ConfigCopies
from bitterntiller.components.control.configuration import ConfigurationState
from bitterntiller.protocol import messages

ROUTES = 500


def numbered(number, routes, **more):
    """A change of one field of the first of some routes, which are a list."""
    table = [{"name": f"r-{n}", "path": n * "/p"} for n in range(routes)]
    table[0]["timeout_ms"] = number
    document = {"routes": table, "changed": number, **more}
    return messages.Change(
        change_id=f"number-{number}",
        base_version=0,
        config=json.dumps(document).encode(),
        number=number,
    )


def test_patches_of_a_long_list_take_no_more_than_the_document():
    """64 patches that each held the whole list of routes took 52 MB."""
    state = ConfigurationState()
    for number in range(1, 65):
        state.apply(numbered(number, ROUTES), number)
        assert state.patches_bytes < len(state.text)
    assert state.patches_since(63) is None
    assert state.superseded_at_ms(10) == 11
    assert state.superseded_at_ms(64) is None


def test_short_patches_stay_beside_a_long_document():
    """Bounding patches must not make nodes load the document for each small change."""
    state = ConfigurationState()
    document = {"a": "x" * 100_000}
    for number in range(1, 41):
        document["b"] = number
        change = messages.Change(
            change_id="",
            base_version=0,
            config=json.dumps(document).encode(),
            number=number,
        )
        state.apply(change, number)
    patches = state.patches_since(2)
    assert [patch.version for patch in patches] == list(range(3, 41))
    assert all(patch.data for patch in patches)


def test_copies_that_do_not_compress_stay_within_their_bytes():
    """Eight copies were kept whatever their size."""
    copies, state = ConfigCopies(300_000), ConfigurationState()
    rng = random.Random(1)
    for number in range(1, 9):
        text = rng.randbytes(60_000).hex()
        state.apply(numbered(number, 1, text=text), number)
        latest = copies.latest(state)
        assert copies.bytes <= 300_000 + len(latest.data)
    request = messages.GetConfigPart(
        version=latest.version, digest=latest.digest, offset=0
    )
    assert copies.part(request).data == latest.data[:16384]
    small = ConfigCopies(1)
    before = small.latest(state)
    state.apply(numbered(9, 1), 9)
    small.latest(state)
    request = messages.GetConfigPart(
        version=before.version, digest=before.digest, offset=0
    )
    assert small.part(request).data
