"""Ask an upstream for an answer that shows that the path to it works."""

from enum import Enum
from typing import NamedTuple, Protocol

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import IncompleteResponseError
from bitterntiller.components.http.models import Headers, ResponseHead
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.core.interfaces import SentRequest
from bitterntiller.core.timeouts import ignore_after


class ProbeResult(Enum):
    """How an upstream answered a probe over a direct connection."""

    ANSWERED = "answered"
    NO_ANSWER = "no-answer"
    NO_CONNECTION = "no-connection"


class ProbeRequest(NamedTuple):
    """A request that an upstream answers without running anything."""

    target: str
    headers: Headers = []


class ProbeDialect(Protocol):
    """How upstreams are probed."""

    def probe_request(self, pool: str) -> ProbeRequest | None:
        """Return the probe of a pool's upstreams, None if there is none."""
        ...

    def is_probe_answer(self, upstream: str, head: ResponseHead) -> bool:
        """Return whether the upstream itself has answered a probe."""
        ...

    def identity_request(self, sent: SentRequest) -> ProbeRequest | None:
        """Return a probe whose answer says which process it is from, None without one.

        A process other than the one that the request was sent to may refuse it.
        """
        ...

    def is_from_another_process(self, sent: SentRequest, head: ResponseHead) -> bool:
        """Return whether the answer shows that another process has sent it."""
        ...


class Prober:
    """Sends probes over open connections."""

    def __init__(self, dialect: ProbeDialect) -> None:
        self._dialect = dialect

    async def async_answers(
        self,
        client: ClientExchange,
        destination: Destination,
        size: int = 0,
        seconds: float = const.PROBE_ANSWER_SECONDS,
    ) -> bool:
        """Return whether an upstream answers a probe of at least size bytes in time.

        The caller closes the connection.
        """
        request = self._dialect.probe_request(destination.pool)
        if request is None:
            return False
        headers = list(request.headers)
        if size:
            headers.append((const.PADDING_HEADER, b"0" * size))
        request = request._replace(headers=headers)
        head = await _async_head(client, request, seconds)
        if head is None:
            return False
        return self._dialect.is_probe_answer(destination.upstream, head)

    async def async_is_replaced(
        self, client: ClientExchange, sent: SentRequest
    ) -> bool:
        """Return whether a process other than a request's answers an identity probe.

        The caller closes the connection.
        """
        request = self._dialect.identity_request(sent)
        head = None if request is None else await _async_head(client, request)
        return head is not None and self._dialect.is_from_another_process(sent, head)


async def _async_head(
    client: ClientExchange,
    request: ProbeRequest,
    seconds: float = const.PROBE_ANSWER_SECONDS,
) -> ResponseHead | None:
    """Return the head of the response to a probe, None if there is none in time.

    Interim heads don't put the end of that time off.
    """
    try:
        async with ignore_after(seconds):
            await client.async_request(
                "GET", request.target, request.headers, b"", seconds
            )
            return await client.async_head(seconds)
    except IncompleteResponseError:
        return None
    return None
