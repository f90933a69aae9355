"""Demo: `python -m standins.demo` runs a small deployment on loopback.

It has three hosts, each with a data folder, two engines of different speed and a plain
service. The configuration of the canopy example is applied, then a streamed completion
and a non-idempotent request are sent through it. With --once the demo ends after them.
"""

import json
import subprocess
import sys
import time
import urllib.error
import urllib.request
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import cappa

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / "examples" / "canopy"
FOLDER = ROOT / "run" / "demo"
FIRST_PORT = 18080
PORTS_PER_HOST = 10
STOP_SECONDS = 10.0
READY_SECONDS = 30.0


class Host(NamedTuple):
    """A host of the demo and its three ports, all on 127.0.0.1."""

    name: str
    zone: str
    caller: int
    internal: int
    operator: int


class Upstream(NamedTuple):
    """A stand-in: its module, port, service, labels and speed options."""

    name: str
    module: str
    port: int
    service: str
    labels: str
    options: tuple[str, ...] = ()


HOSTS = [
    Host(name, zone, *(FIRST_PORT + index * PORTS_PER_HOST + kind for kind in range(3)))
    for index, (name, zone) in enumerate(
        (("bole-a", "bole"), ("kirkos-a", "kirkos"), ("yeka-a", "yeka"))
    )
]
UPSTREAMS = [
    Upstream(
        "engine-1",
        "standins.engine",
        18201,
        "canopy-llm",
        "model=canopy,zone=bole,generation=g3",
        ("--token-ms", "8"),
    ),
    Upstream(
        "engine-2",
        "standins.engine",
        18202,
        "canopy-llm",
        "model=canopy,zone=yeka,generation=g1",
        ("--token-ms", "25"),
    ),
    Upstream("map-1", "standins.plain", 18203, "canopy-map", "zone=bole,generation=g2"),
]


@cappa.command(name="demo")
@dataclass
class Arguments:
    """Run a demo deployment on loopback."""

    once: Annotated[bool, cappa.Arg(long=True, help="end after the requests")] = False


def host_settings(host: Host) -> dict[str, Any]:
    """Return the settings document of a host."""
    return {
        "host": host.name,
        "zone": host.zone,
        "region": "addis",
        "roles": ["entry", "dispatch", "control"],
        "listen": {
            "caller": f"127.0.0.1:{host.caller}",
            "internal": f"127.0.0.1:{host.internal}",
            "operator": f"127.0.0.1:{host.operator}",
        },
        "keys": {
            kind: str(EXAMPLE / "keys" / f"{kind}.key")
            for kind in ("operator", "internal", "upstream")
        },
        "control": {
            "addresses": [f"127.0.0.1:{item.internal}" for item in HOSTS],
            "bootstrap": [item.name for item in HOSTS],
        },
        "data_folder": str(FOLDER / host.name),
    }


def start(stack: ExitStack, name: str, module: str, arguments: list[str]) -> None:
    """Start a process that writes to a log file; the stack stops it."""
    log = stack.enter_context((FOLDER / f"{name}.log").open("ab"))
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments], cwd=ROOT, stdout=log, stderr=log
    )
    stack.callback(stop, process)


def stop(process: subprocess.Popen[bytes]) -> None:
    """Stop a process that start() started; kill it after STOP_SECONDS."""
    process.terminate()
    try:
        process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def start_hosts(stack: ExitStack) -> None:
    """Write a settings file for each host and start the hosts."""
    for host in HOSTS:
        path = FOLDER / f"{host.name}.json"
        path.write_text(json.dumps(host_settings(host), indent=2))
        module = "bitterntiller.cli.daemon"
        start(stack, host.name, module, ["--settings", str(path)])


def start_upstreams(stack: ExitStack) -> None:
    """Start the stand-ins, which announce themselves to the hosts."""
    announce = ",".join(f"127.0.0.1:{host.caller}" for host in HOSTS)
    for item in UPSTREAMS:
        arguments = ["--listen", f"127.0.0.1:{item.port}", "--name", item.name]
        arguments += ["--service", item.service, "--labels", item.labels]
        arguments += ["--announce", announce, *item.options]
        arguments += ["--key-file", str(EXAMPLE / "keys" / "upstream.key")]
        start(stack, item.name, item.module, arguments)


def wait_until_ready() -> None:
    """Wait until every host is ready; raise TimeoutError after READY_SECONDS."""
    until = time.monotonic() + READY_SECONDS
    for host in HOSTS:
        while not is_ready(host):
            if time.monotonic() > until:
                raise TimeoutError(f"{host.name} is not ready, see {FOLDER}")
            time.sleep(0.2)


def is_ready(host: Host) -> bool:
    """Return whether a host is ready for requests."""
    try:
        urllib.request.urlopen(f"http://127.0.0.1:{host.caller}/readyz").close()
    except OSError:
        return False
    return True


def apply_configuration() -> None:
    """Apply the example's configuration with the command-line tool."""
    command = [sys.executable, "-m", "bitterntiller.cli.tool", "apply"]
    command += [str(EXAMPLE / "config.json")]
    command += ["--operator", f"127.0.0.1:{HOSTS[0].operator}"]
    command += ["--key-file", str(EXAMPLE / "keys" / "operator.key")]
    subprocess.run(command, cwd=ROOT, check=True)


def send(
    host: Host, workspace: str, path: str, body: dict[str, Any], chunked: bool
) -> None:
    """Send a request and print its response as it arrives.

    The body is sent with its length or chunked, which urllib does for a list. A refused
    request is retried after its Retry-After, for up to READY_SECONDS.
    """
    data = json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://127.0.0.1:{host.caller}{path}",
        [data] if chunked else data,
        {"Authorization": f"Bearer demo-{workspace}"},
    )
    until = time.monotonic() + READY_SECONDS
    while True:
        try:
            with urllib.request.urlopen(request) as response:
                print(f"\n{path} at {host.name}: {response.headers['X-Outcome']}")
                for line in response:
                    sys.stdout.write(line.decode())
                return
        except urllib.error.HTTPError as error:
            # Only a request that is known not to have run is sent again.
            not_run = error.headers["X-Outcome"] == "not-run"
            if not not_run or time.monotonic() > until:
                raise SystemExit(f"{error} {error.read().decode()}") from error
            time.sleep(float(error.headers["Retry-After"] or 1))


def main() -> None:
    """Run the demo until it is interrupted."""
    arguments = cappa.parse(Arguments)
    FOLDER.mkdir(parents=True, exist_ok=True)
    with ExitStack() as stack:
        start_hosts(stack)
        start_upstreams(stack)
        wait_until_ready()
        apply_configuration()
        prompt = {"prompt": "How old is the tree at Meskel Square?", "stream": True}
        completion = {**prompt, "max_tokens": 8}
        send(HOSTS[1], "foresters", "/v1/completions", completion, chunked=True)
        tag = {"tile": 17, "species": "olive"}
        send(HOSTS[2], "foresters", "/map/tags", tag, chunked=False)
        if arguments.once:
            return
        print(f"\nRunning on port {HOSTS[0].caller}; logs in {FOLDER}; stop by Ctrl-C.")
        try:
            while True:
                time.sleep(1)
        except KeyboardInterrupt:
            return


if __name__ == "__main__":
    main()
