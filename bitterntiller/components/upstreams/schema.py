"""The schema of announcements, validated once where they arrive."""

import ipaddress
import json
from typing import Any

import voluptuous as vol

from bitterntiller.components.upstreams import const
from bitterntiller.components.upstreams.errors import AnnouncementError
from bitterntiller.protocol import messages


def ip_and_port(value: Any) -> str:
    """Validate an address IP:port."""
    if not isinstance(value, str):
        raise vol.Invalid("expected IP:port")
    ip, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise vol.Invalid("expected IP:port, by number") from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise vol.Invalid("expected a port from 1 to 65535")
    return value


def whole_number(value: Any) -> int:
    """Validate an integer; booleans are rejected."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise vol.Invalid("expected a whole number")
    return value


def text(value: Any) -> str:
    """Validate a string that can be encoded; JSON may contain a lone surrogate."""
    if not isinstance(value, str):
        raise vol.Invalid("expected a string")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise vol.Invalid("expected a string of whole characters") from None
    return value


_COUNT = vol.All(whole_number, vol.Range(min=0, max=const.MAX_COUNT))
_NUMBER = vol.All(whole_number, vol.Range(min=0, max=const.MAX_NUMBER))
_HASH = vol.All(
    whole_number, vol.Range(min=-const.MAX_NUMBER - 1, max=const.MAX_NUMBER)
)
_NAME = vol.All(text, vol.Length(min=1, max=200))

_LOAD = vol.Schema(
    {
        vol.Required(const.ATTR_RUNNING): _COUNT,
        vol.Required(const.ATTR_WAITING): _COUNT,
        vol.Required(const.ATTR_KV_TOKENS): _COUNT,
        vol.Required(const.ATTR_AGE_MS): _COUNT,
    }
)

_CACHE_EVENT = vol.Schema(
    {
        vol.Required(const.ATTR_SEQUENCE): _NUMBER,
        vol.Required(const.ATTR_STORED): bool,
        vol.Required(const.ATTR_PREFIX_HASH): _HASH,
    }
)

ANNOUNCEMENT = vol.Schema(
    {
        vol.Required(const.ATTR_NAME): _NAME,
        vol.Required(const.ATTR_SERVICE): _NAME,
        vol.Required(const.ATTR_ADDRESS): ip_and_port,
        vol.Required(const.ATTR_INCARNATION): _NUMBER,
        vol.Required(const.ATTR_SEQUENCE): _NUMBER,
        vol.Required(const.ATTR_STATE): vol.In(const.STATES),
        vol.Optional(const.ATTR_LABELS, default=dict): {_NAME: text},
        vol.Required(const.ATTR_SLOTS): _COUNT,
        vol.Optional(const.ATTR_KV_TOKENS, default=0): _COUNT,
        vol.Optional(const.ATTR_LOAD): _LOAD,
        vol.Optional(const.ATTR_CACHE_EVENTS, default=list): vol.All(
            [_CACHE_EVENT], vol.Length(max=const.MAX_CACHE_EVENTS)
        ),
    }
)


def parse_announcement(body: bytes) -> messages.Announce:
    """Return the announcement in a JSON body; raise AnnouncementError."""
    try:
        document = ANNOUNCEMENT(json.loads(body))
    except (ValueError, RecursionError) as error:
        raise AnnouncementError(f"not JSON: {error}") from error
    except vol.Invalid as error:
        raise AnnouncementError(str(error)) from error
    return _message(document)


def _message(document: dict[str, Any]) -> messages.Announce:
    load = document.get(const.ATTR_LOAD)
    return messages.Announce(
        name=document[const.ATTR_NAME],
        pool=document[const.ATTR_SERVICE],
        address=document[const.ATTR_ADDRESS],
        incarnation=document[const.ATTR_INCARNATION],
        sequence=document[const.ATTR_SEQUENCE],
        state=document[const.ATTR_STATE],
        labels=document[const.ATTR_LABELS],
        slots=document[const.ATTR_SLOTS],
        kv_tokens=document[const.ATTR_KV_TOKENS],
        load=None if load is None else messages.Load(**load),
        cache_events=[
            messages.CacheEvent(**event) for event in document[const.ATTR_CACHE_EVENTS]
        ],
    )
