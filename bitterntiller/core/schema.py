"""Validators that the schemas of settings and configuration share."""

import ipaddress
import re
from collections.abc import Callable
from typing import Any

import voluptuous as vol

from bitterntiller.core.problems import Problem

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")


def name(value: Any) -> str:
    """Validate a name that is safe in metrics, headers and keys."""
    if not isinstance(value, str) or not NAME.fullmatch(value):
        raise vol.Invalid(
            "expected a name of 1 to 63 letters, digits, '_', '.' or '-', "
            "beginning with a letter or digit"
        )
    return value


def ip_and_port(value: Any) -> tuple[str, int]:
    """Validate "IP:port" with an IPv4 address; return address and port."""
    if not isinstance(value, str):
        raise vol.Invalid("expected a string IP:port")
    ip, colon, port = value.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit():
        raise vol.Invalid("expected IP:port")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as error:
        raise vol.Invalid("expected an IPv4 number before the port") from error
    if not 1 <= int(port) <= 65535:
        raise vol.Invalid("expected a port from 1 to 65535")
    return ip, int(port)


def integer(minimum: int, maximum: int | None = None) -> Callable[[Any], int]:
    """Return a validator for integers within bounds."""

    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise vol.Invalid("expected a whole number")
        if value < minimum:
            raise vol.Invalid(f"must be at least {minimum}")
        if maximum is not None and value > maximum:
            raise vol.Invalid(f"must be at most {maximum}")
        return value

    return check


def number(value: Any) -> float:
    """Validate a number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise vol.Invalid("expected a number")
    return float(value)


def positive(value: Any) -> float:
    """Validate a number above 0."""
    found = number(value)
    if found <= 0:
        raise vol.Invalid("must be above 0")
    return found


def find_problems(schema: vol.Schema, value: Any) -> tuple[Any, list[Problem]]:
    """Return the validated value (None if invalid) and all problems."""
    try:
        return schema(value), []
    except vol.MultipleInvalid as error:
        problems = [_to_problem(fault) for fault in error.errors]
        return None, sorted(problems, key=str)


def _to_problem(fault: vol.Invalid) -> Problem:
    path = tuple(part if isinstance(part, int) else str(part) for part in fault.path)
    text = fault.error_message
    if text == "extra keys not allowed":
        text = "unknown key"
    if text == "required key not provided":
        text = "required, but not given"
    return Problem(path, text)
