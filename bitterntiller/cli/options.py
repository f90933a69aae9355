"""Command-line options shared by several commands."""

import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import voluptuous as vol

from bitterntiller.cli import const
from bitterntiller.cli.errors import UsageError
from bitterntiller.cli.operator_client import OperatorClient
from bitterntiller.core.schema import ip_and_port

_KEY = re.compile(rb"[\x21-\x7e]+")

Operator = Annotated[
    list[str],
    cappa.Arg(
        long=True,
        help=f"IP:port of an operator port; again for more. "
        f"Else ${const.ENV_OPERATOR}, separated by commas.",
    ),
]
KeyFile = Annotated[
    Path | None,
    cappa.Arg(
        long=True,
        help=f"File with the operator key. Else ${const.ENV_KEY_FILE}.",
    ),
]
Json = Annotated[bool, cappa.Arg(long=True, help="Print JSON instead of text.")]


@dataclass
class OperatorOptions:
    """Options for the operator ports and the output format."""

    operator: Operator = field(default_factory=list)
    key_file: KeyFile = None
    json: Json = False


def make_client(
    options: OperatorOptions, environment: dict[str, str]
) -> OperatorClient:
    """Return a client of the operator ports given by options or environment.

    Raise UsageError when an address or the key is missing or invalid.
    """
    text = environment.get(const.ENV_OPERATOR, "")
    addresses = options.operator or [part for part in text.split(",") if part]
    if not addresses:
        raise UsageError(f"give --operator IP:port, or set {const.ENV_OPERATOR}")
    for address in addresses:
        try:
            ip_and_port(address)
        except vol.Invalid as error:
            raise UsageError(f"--operator {address}: {error}") from error
    path = options.key_file or environment.get(const.ENV_KEY_FILE)
    if not path:
        raise UsageError(f"give --key-file FILE, or set {const.ENV_KEY_FILE}")
    return OperatorClient(addresses, _read_key(Path(path)))


def _read_key(path: Path) -> bytes:
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    if not _KEY.fullmatch(key):
        raise UsageError(f"{path}: a key is one line of visible ASCII without spaces")
    return key
