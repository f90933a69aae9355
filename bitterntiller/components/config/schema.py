"""The schema of a configuration document."""

import re
from collections.abc import Callable
from typing import Any

import voluptuous as vol

from bitterntiller.components.config import const
from bitterntiller.core.schema import integer, name

_TOKEN_HASH = re.compile(r"[0-9a-f]{64}")
_POSITIVE_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
_POSITIVE_INTEGER = re.compile(r"[0-9]{1,12}")


def _label_value(value: Any) -> str:
    if not isinstance(value, str):
        raise vol.Invalid("expected a string, as all values of labels are")
    # A lone surrogate can't be encoded in the messages between hosts.
    if any("\ud800" <= character <= "\udfff" for character in value):
        raise vol.Invalid("holds half of a surrogate pair")
    return value


def _path_prefix(value: Any) -> str:
    if not isinstance(value, str) or not value.startswith("/"):
        raise vol.Invalid("expected a path that begins with /")
    if "?" in value or "#" in value or not value.isprintable() or " " in value:
        raise vol.Invalid("expected a path without query, fragment or spaces")
    return value


def _token_hash(value: Any) -> str:
    if not isinstance(value, str) or not _TOKEN_HASH.fullmatch(value):
        raise vol.Invalid("expected 64 hex digits in lower case, a SHA-256")
    return value


def _distinct(values: list[Any]) -> tuple[Any, ...]:
    if len(set(values)) != len(values):
        raise vol.Invalid("names one twice")
    return tuple(values)


def _list_of(check: Callable[[Any], Any], minimum: int = 0) -> vol.All:
    return vol.All(
        [check],
        vol.Length(min=minimum, msg=f"expected at least {minimum}"),
        _distinct,
    )


def _number_label(pattern: re.Pattern[str], what: str) -> Callable[[Any], str]:
    def check(value: Any) -> str:
        text = _label_value(value)
        if not pattern.fullmatch(text) or float(text) <= 0:
            raise vol.Invalid(f"expected {what} above 0, as a string")
        return text

    return check


_number = _number_label(_POSITIVE_NUMBER, "a number")
_integer = _number_label(_POSITIVE_INTEGER, "a whole number")

_VALUES_BY_LABEL = {vol.Extra: _list_of(_label_value, minimum=1)}

_SELECTOR = {
    vol.Optional(const.CONF_MATCH, default=dict): _VALUES_BY_LABEL,
    vol.Optional(const.CONF_EXCLUDE, default=dict): _VALUES_BY_LABEL,
}

_SERVICE = {
    vol.Required(const.CONF_KIND): vol.In(
        const.KINDS, msg=f"expected one of {', '.join(const.KINDS)}"
    ),
    vol.Required(const.CONF_PATHS): _list_of(_path_prefix, minimum=1),
    vol.Optional(const.CONF_IDEMPOTENT_PATHS, default=list): _list_of(_path_prefix),
    vol.Optional(const.CONF_SELECTOR, default=dict): _SELECTOR,
    vol.Optional(const.CONF_LABELS, default=dict): {
        vol.Optional(const.LABEL_ORDER_SECONDS): _number,
        vol.Optional(const.LABEL_ORDER_LOADS_AT_ONCE): _integer,
        vol.Extra: _label_value,
    },
}

_TIER = {
    vol.Required(const.CONF_RANK): integer(0, const.MAX_RANK),
    vol.Required(const.CONF_DEADLINE_MS): integer(1, const.MAX_DEADLINE_MS),
    vol.Optional(const.CONF_SELECTOR, default=dict): _SELECTOR,
}

_WORKSPACE = {
    vol.Required(const.CONF_TOKEN_SHA256): _list_of(_token_hash),
    vol.Required(const.CONF_TIER): name,
    vol.Required(const.CONF_SERVICES): _list_of(name),
    vol.Optional(const.CONF_SELECTOR, default=dict): _SELECTOR,
    vol.Optional(const.CONF_LABELS, default=dict): {
        vol.Optional(const.LABEL_SHARE): _number,
        vol.Optional(const.LABEL_CONCURRENCY): _integer,
        vol.Optional(const.LABEL_RATE): _number,
        vol.Extra: _label_value,
    },
}


def _by_name(check: dict[Any, Any]) -> Callable[[Any], dict[str, Any]]:
    """Return a validator of mappings from names to values of one schema."""
    schema = vol.Schema(check)

    def check_all(value: Any) -> dict[str, Any]:
        if not isinstance(value, dict):
            raise vol.Invalid("expected a mapping by name")
        checked = {}
        faults: list[vol.Invalid] = []
        for key, item in value.items():
            try:
                checked[name(key)] = schema(item)
            except vol.Invalid as error:
                error.prepend([key])
                faults += getattr(error, "errors", [error])
        if faults:
            raise vol.MultipleInvalid(faults)
        return checked

    return check_all


SCHEMA = vol.Schema(
    {
        vol.Optional(const.CONF_SERVICES, default=dict): _by_name(_SERVICE),
        vol.Optional(const.CONF_TIERS, default=dict): _by_name(_TIER),
        vol.Optional(const.CONF_WORKSPACES, default=dict): _by_name(_WORKSPACE),
        vol.Optional(const.CONF_LABELS, default=dict): _VALUES_BY_LABEL,
    }
)
