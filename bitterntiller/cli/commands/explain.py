"""bitterntiller explain: tells from logs what became of a request."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from bitterntiller.cli import const
from bitterntiller.cli.errors import ToolError
from bitterntiller.cli.request_trace import Line, lines_of, sampled, tell


def run(command: "Explain") -> int:
    """Print the trace of a request and return the exit code."""
    with lines_of(command.files) as lines:
        kept = list(lines)
    trace = tell(kept, command.request_id)
    if trace is None:
        raise ToolError(_unknown(command.request_id, sampled(kept)))
    begin = trace.lines[0].time
    for line in trace.lines:
        print(_format(line, begin))
    print(f"cause: {trace.cause}")
    return const.EXIT_OK


def _unknown(request_id: str, part_by_host: dict[str, float]) -> str:
    text = f"no line names request {request_id}"
    if not part_by_host:
        return text
    parts = ", ".join(f"{host} {part:g}" for host, part in part_by_host.items())
    return f"{text}; some hosts tell only a part of their requests: {parts}"


def _format(line: Line, begin: float) -> str:
    mark = "*" if line.request else " "
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"{line.time - begin:9.4f} {mark} {line.host:16} {line.event:16} {fields}"


@cappa.command(invoke=run)
@dataclass
class Explain:
    """Join the logs of several hosts and print what became of a request.

    Lines of the request are marked; the others are what the same hosts came to believe
    around that time. Times are in seconds from the first line.
    """

    request_id: Annotated[str, cappa.Arg(help="the id of the request")]
    files: Annotated[
        list[str], cappa.Arg(num_args=-1, help="logs of hosts; - for standard input")
    ]
