"""What control keeps of configurations, in bytes."""

import json
import random
import tracemalloc

import curio
import pytest

from bitterntiller.components.control.config_copies import ConfigCopies
from bitterntiller.components.control.configuration import ConfigurationState
from bitterntiller.components.control.pending_changes import PendingChanges
from bitterntiller.components.control.validate import find_change_error
from bitterntiller.core.document_size import max_decoded_bytes
from bitterntiller.protocol import messages

COUNT = 20_000
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


DOCUMENTS = {
    "empty dicts": [{} for _ in range(COUNT)],
    "lists in lists": [[[[]]] for _ in range(COUNT)],
    "dicts with a key each": [{f"k{n}": n} for n in range(COUNT)],
    "one dict": {f"k{n}": n + 0.5 for n in range(COUNT)},
    "one dict that has just grown": {f"k{n}": {} for n in range(87_383)},
    "short strings": [f"s{n}" for n in range(COUNT)],
    "strings with accents": ["\u00e9" * 3 + str(n) for n in range(COUNT)],
    "strings four bytes wide": ["\U0001f600" + "a" * 50 + str(n) for n in range(COUNT)],
    "dicts of eleven": [dict.fromkeys("abcdefghijk", 10**6) for _ in range(COUNT)],
}


@pytest.mark.parametrize("ascii_only", [True, False])
@pytest.mark.parametrize("name", DOCUMENTS)
def test_decoding_takes_no_more_memory_than_estimated(name, ascii_only):
    text = json.dumps(DOCUMENTS[name], ensure_ascii=ascii_only, separators=(",", ":"))
    data = text.encode()
    tracemalloc.start()
    try:
        decoded = json.loads(data)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert decoded
    assert peak <= max_decoded_bytes(data)


def test_configuration_that_takes_too_much_memory_is_refused():
    """A megabyte of empty lists was accepted and took 35 MB for each copy."""
    change = numbered(1, 1, more=[[[[]]] for _ in range(100_000)])
    error = find_change_error(change, lambda document, version: None, 18 * 2**20)
    assert "bytes of memory" in error
    small = numbered(1, 1000)
    limit = 18 * 2**20
    assert find_change_error(small, lambda document, version: None, limit) == ""


def test_changes_that_are_decided_at_once_are_bounded_in_bytes():
    """Each change that was decided took memory, however many there were."""
    decided = []

    async def run():
        released = curio.Event()

        async def decide(change):
            decided.append(change.number)
            await released.wait()
            return messages.ChangeReply(status="accepted", version=1, text="")

        def full():
            return messages.ChangeReply(status="full", version=0, text="later")

        changes = [numbered(n, ROUTES) for n in range(1, 11)]
        limit = 3 * max_decoded_bytes(changes[0].config) + 1000
        pending = PendingChanges(decide, limit, full)
        tasks = [
            await curio.spawn(pending.async_reply, change, 5.0) for change in changes
        ]
        await curio.sleep(0.05)
        assert pending.bytes <= limit
        assert (await pending.async_reply(changes[9], 0.1)).status == "full"
        await released.set()
        statuses = [(await task.join()).status for task in tasks]
        assert statuses == ["accepted"] * 3 + ["full"] * 7
        assert (await pending.async_reply(changes[9], 5.0)).status == "accepted"

    curio.run(run)
    assert decided == [1, 2, 3, 10]
