"""Checks which incarnation of an upstream a connection leads to.

An upstream may start again under its name and address with another software version.
Until hosts have heard of that, its version is that of its earlier incarnation. A
connection ends with the process that accepted it, so it has to be asked only once.
"""

from enum import Enum
from typing import NamedTuple

from bitterntiller.components.entry import const
from bitterntiller.components.entry.dialect import HttpDialect
from bitterntiller.components.entry.models import GrantReceived
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import IncompleteResponseError
from bitterntiller.components.http.models import ResponseHead, header
from bitterntiller.components.tunnels.probes import ProbeRequest
from bitterntiller.core.timeouts import ignore_after

OK = 200
TOO_MANY_REQUESTS = 429
MIN_SERVER_ERROR = 500
UNNAMED = ""
"""The incarnation of an upstream that names none."""


class _Answer(NamedTuple):
    """The incarnation that an upstream names, None if it isn't known.

    lasting is whether a further connection would get the same answer.
    """

    incarnation: str | None
    lasting: bool = False


class LeadsTo(Enum):
    """Where a connection leads.

    GRANTED: to the incarnation that was granted, or to one that names none.
    GRANTED_ONCE: the same, but the upstream has used the connection up. OTHER: to
    another incarnation, or the upstream doesn't answer in time.
    """

    GRANTED = "granted"
    GRANTED_ONCE = "granted-once"
    OTHER = "other"


class IncarnationChecks:
    """Asks upstreams, once for each connection; no more those that name none."""

    def __init__(self, dialect: HttpDialect) -> None:
        self._dialect = dialect
        self._unnamed: set[tuple[str, str]] = set()

    async def async_check(
        self, client: ClientExchange, grant: GrantReceived
    ) -> LeadsTo:
        """Return where a connection leads; only GRANTED leaves it for a request."""
        request = self._dialect.incarnation_request()
        key = (grant.upstream, grant.incarnation)
        if request is None or grant.incarnation in const.NO_INCARNATIONS:
            return LeadsTo.GRANTED
        if key in self._unnamed:
            return LeadsTo.GRANTED
        reusable = True
        if client.incarnation is None:
            reused = client.reused
            answer = _Answer(None)
            async with ignore_after(const.INCARNATION_SECONDS):
                answer = await self._async_ask(client, request)
            client.incarnation = answer.incarnation
            if answer.lasting:
                self._keep_unnamed(key)
            reusable = await client.async_prepare_reuse()
            client.reused = reused
        if client.incarnation not in (UNNAMED, grant.incarnation):
            return LeadsTo.OTHER
        return LeadsTo.GRANTED if reusable else LeadsTo.GRANTED_ONCE

    async def _async_ask(
        self, client: ClientExchange, request: ProbeRequest
    ) -> _Answer:
        """Return what an upstream answers.

        A late response to a request, or a refusal, tells nothing of its incarnation.
        """
        seconds = const.INCARNATION_SECONDS
        try:
            await client.async_request(
                "GET", request.target, request.headers, b"", seconds, close=False
            )
            head = await client.async_head(seconds)
            if self._dialect.names_some_request(head) or _is_refusal(head):
                return _Answer(None)
            if not _is_report(head):
                return _Answer(UNNAMED, lasting=True)
            body = await client.async_body(seconds, const.INCARNATION_BYTES)
        except IncompleteResponseError:
            return _Answer(None)
        named = self._dialect.named_incarnation(head, body)
        return _Answer(named or UNNAMED, lasting=named == UNNAMED)

    def _keep_unnamed(self, key: tuple[str, str]) -> None:
        if len(self._unnamed) >= const.MAX_UNNAMED:
            self._unnamed.clear()
        self._unnamed.add(key)


def _is_refusal(head: ResponseHead) -> bool:
    return head.status == TOO_MANY_REQUESTS or head.status >= MIN_SERVER_ERROR


def _is_report(head: ResponseHead) -> bool:
    """Return whether a response may be a report; others may go on for long."""
    kind = header(head.headers, const.HEADER_CONTENT_TYPE) or ""
    return head.status == OK and not kind.startswith(const.EVENT_STREAM)
