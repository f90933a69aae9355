"""bitterntiller summary: summarize from logs which requests failed, and why."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from bitterntiller.cli import const
from bitterntiller.cli.errors import ToolError
from bitterntiller.cli.log_summary import STARTUP_STEPS, Summary, summarize
from bitterntiller.cli.request_trace import open_logs

DEFAULT_SPAN = 2.0
"""Seconds; short enough that a host failure or power loss fills an interval."""


def run(command: "Summarize") -> int:
    """Print the summary of logs and return the exit code."""
    if command.span <= 0:
        raise ToolError("--span: expected more than 0 seconds")
    with open_logs(command.files) as events:
        summary = summarize(events, command.span)
    if summary is None:
        raise ToolError("no log events in these files")
    _print(summary)
    return const.EXIT_OK


def _print(summary: Summary) -> None:
    print("seconds  how requests ended")
    for span in summary.spans:
        ends = sorted(span.count_by_end.items(), key=lambda item: -item[1])
        print(f"{span.begin:7.1f}  " + ", ".join(f"{n} {end}" for end, n in ends))
    print(
        "\nrefused  reason, service, tier: longest and mean wait, mean Retry-After, s"
    )
    for reason, refused in summary.refusals_by_reason.items():
        times = f"{refused.max_wait:.2f} {refused.mean_wait:.2f}"
        where = f"{reason.reason} {reason.service} {reason.tier}"
        print(f"{refused.count:7}  {where}: {times} {refused.mean_retry_after:.2f}")
    print("\nnot done  by upstream")
    for upstream, count in summary.failures_by_upstream.items():
        print(f"{count:8}  {upstream}")
    print(
        "\ncut, begun, configuration changed  "
        "service or route: by whom and why responses were cut"
    )
    for cut in summary.cut_responses:
        counts = f"{cut.count:3}  {cut.begun:5}  {cut.changed:21}"
        where = cut.cause.route or cut.cause.service
        print(f"{counts}  {where}: {cut.cause.by} {cut.cause.reason}")
    print("\nreceived, served  service, group of its requests")
    for group, served in summary.served_by_group.items():
        print(f"{served.received:8}  {served.served:6}  {group.service} {group.group}")
    print(
        "\nreceived, refused, retry reserved  "
        "workspace, counting host: longest wait, smallest fraction left"
    )
    for use in summary.quotas:
        counts = f"{use.received:8}  {use.refused:7}  {use.retries_reserved:14}"
        least = f"{use.max_wait:.2f} s, {use.min_fraction_left:.2f}"
        print(f"{counts}  {use.workspace} {use.counting_host}: {least}")
    print("\nstreams taken up, gone on  service, version: refused by reason")
    for streams in summary.continued_streams:
        counts = f"{streams.taken_up:16}  {streams.gone_on:7}"
        reasons = ", ".join(
            f"{n} {why}" for why, n in streams.refused_by_reason.items()
        )
        print(f"{counts}  {streams.service} {streams.version or '?'}: {reasons or '-'}")
    if summary.fraction_by_host:
        parts = [
            f"{host} {fraction:g}"
            for host, fraction in summary.fraction_by_host.items()
        ]
        print(f"\nhosts that log only a fraction of their requests: {', '.join(parts)}")
    print("\nupstreams not in use at the end: seconds, owner, change")
    for unused in summary.unused_upstreams:
        print(f"{unused.when:7.1f}  {unused.owner} {unused.upstream} {unused.change}")
    print("\npaths lost at the end: seconds, host, upstream, hosts gone through")
    for path in summary.lost_paths:
        through = ", ".join(path.through) or "-"
        print(f"{path.when:7.1f}  {path.host} {path.upstream} {through}")
    print("\nseconds from the last start of a host: " + ", ".join(STARTUP_STEPS[1:]))
    for start in summary.host_starts:
        steps = [
            _seconds(start.seconds_by_step.get(step)) for step in STARTUP_STEPS[1:]
        ]
        print(f"{start.host:20}" + "".join(steps))


def _seconds(after: float | None) -> str:
    return f"{'-':>9}" if after is None else f"{after:9.3f}"


@cappa.command(invoke=run, name="summary")
@dataclass
class Summarize:
    """Summarize the logs of several hosts.

    Shows how requests ended by interval, refusals by reason with their waits, failures
    by upstream, cut responses by cause, requests received and served of each service by
    size and route, quota decisions by workspace, streams taken up by version, upstreams
    out of use, paths from hosts to upstreams that are lost, and the startup steps of
    each host.
    """

    files: Annotated[
        list[str], cappa.Arg(num_args=-1, help="logs of hosts; - for standard input")
    ]
    span: Annotated[float, cappa.Arg(long=True, help="seconds of an interval")] = (
        DEFAULT_SPAN
    )
