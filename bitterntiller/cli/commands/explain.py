"""bitterntiller explain: trace a request through the logs of several hosts."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from bitterntiller.cli import const
from bitterntiller.cli.errors import ToolError
from bitterntiller.cli.request_trace import (
    LogEvent,
    open_logs,
    sample_fractions,
    trace_request,
)


def run(command: "Explain") -> int:
    """Print the trace of a request and return the exit code."""
    with open_logs(command.files) as events:
        kept = list(events)
    trace = trace_request(kept, command.request_id)
    if trace is None:
        raise ToolError(_unknown(command.request_id, sample_fractions(kept)))
    begin = trace.events[0].time
    for event in trace.events:
        print(_format(event, command.request_id, begin))
    print(f"cause: {trace.cause}")
    return const.EXIT_OK


def _unknown(request_id: str, fraction_by_host: dict[str, float]) -> str:
    text = f"no event has request id {request_id}"
    if not fraction_by_host:
        return text
    parts = ", ".join(
        f"{host} {fraction:g}" for host, fraction in fraction_by_host.items()
    )
    return f"{text}; some hosts log only a fraction of their requests: {parts}"


def _format(event: LogEvent, request_id: str, begin: float) -> str:
    mark = "*" if event.request == request_id else " "
    fields = " ".join(f"{key}={value}" for key, value in event.fields.items())
    return f"{event.time - begin:9.4f} {mark} {event.host:16} {event.kind:16} {fields}"


@cappa.command(invoke=run)
@dataclass
class Explain:
    """Trace a request through the logs of several hosts.

    Events of the request are marked with *; the others are state changes of the same
    hosts and upstreams around that time. Times are in seconds from the first line.
    """

    request_id: Annotated[str, cappa.Arg(help="the id of the request")]
    files: Annotated[
        list[str], cappa.Arg(num_args=-1, help="logs of hosts; - for standard input")
    ]
