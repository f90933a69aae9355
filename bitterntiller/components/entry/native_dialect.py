"""The project's own HTTP dialect."""

from bitterntiller.components.config.models import Service
from bitterntiller.components.entry import const
from bitterntiller.components.entry.dialect import ResponseClass
from bitterntiller.components.entry.estimate import estimate
from bitterntiller.components.entry.models import (
    ActiveRequest,
    Estimate,
    GrantReceived,
    IdentifiedRequest,
    ReceivedRequest,
    ReportedLoad,
)
from bitterntiller.components.entry.notices import Notice, parse_pause
from bitterntiller.components.entry.rate_limits import parse_rate
from bitterntiller.components.entry.refusal_responses import (
    refusal_body,
    refusal_headers,
)
from bitterntiller.components.entry.relay_headers import response_headers
from bitterntiller.components.entry.request_parsing import parse_request
from bitterntiller.components.entry.upstream_calls import (
    async_cancel_work,
    matches_request,
    request_headers,
    stream_target,
)
from bitterntiller.components.http.models import (
    Headers,
    RequestHead,
    ResponseHead,
    header,
)
from bitterntiller.components.tunnels.connector import Connector
from bitterntiller.components.tunnels.probes import ProbeRequest
from bitterntiller.core.outcomes import Ending

NOT_ADMITTED_STATUSES = frozenset({429, 503})
NOT_ADMITTED_VALUE = "false"
LEAVING_VALUE = "true"
MIN_SERVER_ERROR = 500
PROBE_ID = "path-probe"
"""No request has this id; the ids of requests are made by hosts."""


class NativeDialect:
    """An HttpDialect; docs/OPERATING.md and docs/UPSTREAMS.md describe its headers."""

    def parse_request(self, head: RequestHead, now: float) -> ReceivedRequest | Ending:
        """Parse the head of a request; return an ending if it is malformed."""
        return parse_request(head, now)

    def request_id(self, head: RequestHead) -> str:
        """Return an empty id: this host assigns the ids of requests."""
        return ""

    def estimate(self, identified: IdentifiedRequest, body: bytes) -> Estimate:
        """Return the size of a request as estimated from its body."""
        return estimate(identified.service.kind, body)

    def request_headers(
        self, active: ActiveRequest, grant: GrantReceived, now: float
    ) -> Headers:
        """Return the headers of the request for the upstream of a grant."""
        return request_headers(active)

    def classify_response(
        self, active: ActiveRequest, head: ResponseHead
    ) -> ResponseClass:
        """Classify the head of an upstream's response."""
        if not matches_request(active, head):
            return ResponseClass.FOREIGN
        if _not_admitted(head):
            return ResponseClass.NOT_RUN
        return ResponseClass.ANSWER

    def names_request(self, active: ActiveRequest, head: ResponseHead) -> bool:
        """Return whether a response has the id of its request."""
        return matches_request(active, head)

    def is_from_upstream(self, active: ActiveRequest, head: ResponseHead) -> bool:
        """Return whether a response carries the id of its request."""
        return matches_request(active, head)

    def probe_request(self, service: Service) -> ProbeRequest:
        """Return a request for a stream that the upstream doesn't know."""
        return ProbeRequest(stream_target(PROBE_ID))

    def is_probe_answer(self, upstream: str, head: ResponseHead) -> bool:
        """Return whether an upstream has answered such a request."""
        return head.status < MIN_SERVER_ERROR

    def identity_request(self, service: Service, upstream: str) -> ProbeRequest:
        """Return a request for a stream that the upstream doesn't know."""
        return self.probe_request(service)

    def incarnation_request(self) -> ProbeRequest | None:
        """Return None, as no caller takes a stream up."""
        return None

    def named_incarnation(self, head: ResponseHead, body: bytes) -> str | None:
        """Return None, as no upstream is asked."""
        return None

    def names_some_request(self, head: ResponseHead) -> bool:
        """Return whether a response has the id of any request."""
        return header(head.headers, const.HEADER_REQUEST_ID) is not None

    def is_from_another_process(
        self, upstream: str, incarnation: str, head: ResponseHead
    ) -> bool:
        """Return whether the answer names another incarnation."""
        value = header(head.headers, const.HEADER_INCARNATION)
        return value is not None and value.strip() != incarnation

    def load(self, head: ResponseHead) -> ReportedLoad | None:
        """Return None: upstreams report their load in announcements."""
        return None

    def rate_limit(self, head: ResponseHead) -> float | None:
        """Return the rate limit in requests per second if the response states one."""
        return parse_rate(header(head.headers, const.HEADER_RATE_LIMIT))

    def notice(self, head: ResponseHead) -> Notice:
        """Return what the upstream of a response states about itself."""
        value = header(head.headers, const.HEADER_LEAVING) or ""
        pause = 0.0
        if _not_admitted(head):
            pause = parse_pause(header(head.headers, const.HEADER_RETRY_AFTER))
        return Notice(value.lower() == LEAVING_VALUE, pause)

    def response_headers(self, active: ActiveRequest, head: ResponseHead) -> Headers:
        """Return the headers of a relayed response."""
        return response_headers(active, head)

    def refusal(self, ending: Ending, request_id: str) -> tuple[Headers, bytes]:
        """Return headers and body of a response that this host generates."""
        return refusal_headers(ending, request_id), refusal_body(ending, request_id)

    async def async_cancel_work(
        self, active: ActiveRequest, connector: Connector
    ) -> None:
        """Cancel the request at its upstream."""
        await async_cancel_work(active.destination, connector)


def _not_admitted(head: ResponseHead) -> bool:
    if head.status not in NOT_ADMITTED_STATUSES:
        return False
    value = header(head.headers, const.HEADER_ADMITTED) or ""
    return value.lower() == NOT_ADMITTED_VALUE
