import curio
import pytest

from bitterntiller.cli import const
from bitterntiller.cli.errors import ToolError
from bitterntiller.cli.repair_sender import async_repair
from bitterntiller.components.http.errors import (
    ConnectRefusedError,
    IncompleteResponseError,
)
from tests.cli.builders import ScriptedClient

REFUSED = ConnectRefusedError("refused")
LOST = IncompleteResponseError("lost")
UNKNOWN = (503, {"status": "unknown"})
RUNNING = (202, {"status": "running", "text": "b is catching up"})
DONE = (200, {"status": "done", "text": "1 further losses are survived"})


def repair(*script):
    client = ScriptedClient(*script)
    command = {"remove": "a/1", "add": "b"}
    return client, curio.run(async_repair, client, command, len(script), 0.0)


def test_command_is_repeated_until_redundancy_is_restored():
    """The leader fails after it accepted the command, which it had only in memory.

    No other replica would continue the repair, and one more host failure would stop
    control. The tool repeats the same command to the ports in turn and succeeds only
    when the repair is reported done.
    """
    client, result = repair(RUNNING, LOST, REFUSED, UNKNOWN, RUNNING, DONE)
    assert (result.exit_code, result.value) == (const.EXIT_OK, DONE[1])
    assert {body for _, _, body in client.calls} == {b'{"remove": "a/1", "add": "b"}'}
    assert [address for address, _, _ in client.calls] == ["a:1", "b:1"] * 3


@pytest.mark.parametrize(
    ("script", "code"),
    [
        ([REFUSED, REFUSED], const.EXIT_UNREACHABLE),
        ([REFUSED, LOST], const.EXIT_UNKNOWN),
        ([LOST, REFUSED], const.EXIT_UNKNOWN),
        ([UNKNOWN, REFUSED], const.EXIT_UNKNOWN),
        ([UNKNOWN, RUNNING], const.EXIT_RUNNING),
        ([RUNNING, LOST], const.EXIT_RUNNING),
        ([(500, {})], const.EXIT_UNKNOWN),
        ([(200, {"status": "odd"})], const.EXIT_UNKNOWN),
    ],
)
def test_exit_code_says_whether_the_status_is_known(script, code):
    assert repair(*script)[1].exit_code == code


@pytest.mark.parametrize(
    ("response", "code"),
    [
        ((401, {}), const.EXIT_UNAUTHORIZED),
        ((409, {"status": "refused"}), const.EXIT_REFUSED),
    ],
)
def test_refusal_ends_the_command(response, code):
    with pytest.raises(ToolError) as caught:
        repair(response, DONE)
    assert caught.value.exit_code == code
