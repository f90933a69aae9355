"""Receives announcements of upstreams and forwards them to pool owners."""

import hmac
import json

from bitterntiller.components.http.models import (
    Headers,
    HttpRequest,
    HttpResponse,
    header,
)
from bitterntiller.components.links.errors import LinkError
from bitterntiller.components.upstreams import const
from bitterntiller.components.upstreams.errors import AnnouncementError
from bitterntiller.components.upstreams.schema import parse_announcement
from bitterntiller.core.interfaces import ConfigView, DirectoryView
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages

_JSON: Headers = [(b"content-type", b"application/json")]
_RETRY: Headers = [(b"retry-after", b"1")]
_BEARER = "Bearer "


class UpstreamCoordinator:
    """Handles POST /v1/upstreams/announce on any entry host."""

    def __init__(
        self, runtime: Runtime, config: ConfigView, directory: DirectoryView
    ) -> None:
        self._key = runtime.settings.keys.upstream
        self._timeout = runtime.settings.timings.link_call
        self._links = runtime.links
        self._metrics = runtime.metrics
        self._config = config
        self._directory = directory

    async def async_handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to an announcement."""
        if request.method != "POST":
            return _json_response(405, {"error": "use POST"})
        if not self._has_valid_key(request.headers):
            self._metrics.count(const.METRIC_WRONG_KEY)
            return _json_response(401, {"error": "wrong key"})
        try:
            message = parse_announcement(request.body)
        except AnnouncementError as error:
            return _json_response(422, {"error": error.text, "code": error.code})
        services = self._config.config.services_by_name if self._config.config else {}
        if services and message.pool not in services:
            return _json_response(422, {"error": f"no service {message.pool}"})
        status = await self._async_forward(message)
        self._metrics.count(f"{const.METRIC_ANNOUNCEMENTS}.{status}")
        return _json_response(
            const.STATUS_BY_REPLY.get(status, 503), {"status": status}
        )

    def _has_valid_key(self, headers: Headers) -> bool:
        value = header(headers, b"authorization") or ""
        if not value.startswith(_BEARER):
            return False
        given = value[len(_BEARER) :].encode("latin-1")
        return hmac.compare_digest(given, self._key)

    async def _async_forward(self, message: messages.Announce) -> str:
        owner = self._directory.owner(message.pool)
        if owner is None:
            return const.REPLY_NO_OWNER
        try:
            reply = await self._links.async_call(owner.address, message, self._timeout)
        except LinkError:
            return const.REPLY_NO_OWNER
        return reply.status


def _json_response(status: int, document: dict[str, str]) -> HttpResponse:
    headers = _JSON + _RETRY if status == 503 else _JSON
    return HttpResponse(status, headers, json.dumps(document).encode() + b"\n")
