"""Inputs, decisions and parameters of a pool's scheduler; times in seconds."""

from typing import NamedTuple, Protocol

from bitterntiller.components.dispatch import const
from bitterntiller.components.dispatch.upstream_events import UpstreamEvent
from bitterntiller.components.rollouts.models import VersionRules


class WaitingRequest(NamedTuple):
    """A request that waits for an upstream; its body stays at the entry host.

    arrived, deadline, first_by and start_by are points in time on the owner's clock.
    first_by is the objective for the first output, and start_by the time at which the
    caller gives up if there is none; None if not set. Token counts are estimates of the
    entry host. prefix_hashes are the hashes of the prompt's prefixes, shortest first,
    and prefix_tokens their lengths if known. tried are the upstreams that refused or
    failed the request. fingerprint is the same for each copy of the request, 0 if
    unknown, and parts are the fingerprints of the parts of its prompt. route is set
    while a rollout of the service is under evaluation. version is the only one that may
    go on with the stream of the request, None if any may run it. target_interval is the
    target for the time between two outputs of its stream, 0 if there is none.
    output_before is how much of the output its caller has from earlier attempts.
    """

    request_id: str
    workspace: str
    tier: str
    tier_rank: int
    prompt_tokens: int
    output_tokens: int
    arrived: float
    deadline: float
    entry_host: str
    prefix_hashes: tuple[int, ...] = ()
    tried: tuple[str, ...] = ()
    upstream_names: frozenset[str] | None = None
    prefix_tokens: tuple[int, ...] = ()
    first_by: float | None = None
    start_by: float | None = None
    fingerprint: int = 0
    route: str = ""
    version: str | None = None
    parts: tuple[int, ...] = ()
    target_interval: float = 0.0
    output_before: int = 0

    @property
    def fingerprints(self) -> tuple[int, ...]:
        """Return the fingerprints of the request and of the parts of its prompt."""
        return (self.fingerprint, *self.parts) if self.fingerprint else self.parts


class UpstreamLoad(NamedTuple):
    """Load report of an upstream; measured_at is on the owner's clock.

    work_percent is how long work takes on its machine, 100 as usual; None if that isn't
    stated.
    """

    running: int
    waiting: int
    kv_tokens: int
    measured_at: float
    work_percent: int | None = None


class CacheChange(NamedTuple):
    """Cache event of an upstream; it may arrive late, after a gap of lost events."""

    sequence: int
    stored: bool
    prefix_hash: int


class UpstreamState(NamedTuple):
    """State of an upstream as given in its announcement."""

    name: str
    address: str
    incarnation: int
    sequence: int
    leaving: bool
    labels: dict[str, str]
    slots: int
    kv_tokens: int
    silent: bool = False
    load: UpstreamLoad | None = None
    cache_changes: tuple[CacheChange, ...] = ()


class RateLimitUpdate(NamedTuple):
    """Rate limit that a response of one incarnation of an upstream gave.

    limit is in requests per second over all hosts, None for no limit. at is when the
    response began, on the owner's clock.
    """

    upstream: str
    incarnation: str
    limit: float | None
    at: float


class NoticeUpdate(NamedTuple):
    """What one incarnation of an upstream stated in responses to an entry host.

    leaving: it takes no further requests. paused_until, on the owner's clock, is when
    it takes requests from that host again.
    """

    upstream: str
    incarnation: str
    entry_host: str
    leaving: bool
    paused_until: float


class WorkspaceLimits(NamedTuple):
    """Limits of a workspace, from its labels; None for no limit.

    share is the workspace's weight in fair queueing. rate is in requests per second.
    """

    share: float = 1.0
    concurrency: int | None = None
    rate: float | None = None


class Basis(NamedTuple):
    """Values that a grant was based on; times in seconds.

    expected is the expected service time, waited the time since arrival, and
    expected_wait the wait that was estimated on arrival. late is set if the request was
    demoted behind its tier because it was about to miss its objective. parked counts
    how often no free upstream could finish it in time while a busy one might. announced
    is the age of the upstream's newest announcement. tokens is the prompt plus the
    stated output. rate_limit is the upstream's limit in requests per second as given in
    its responses, last received limit_age seconds ago. stated_percent is how long work
    takes on the upstream's machine, 100 as usual, as stated stated_age seconds ago;
    None without such a statement. objective_holds and gaps_hold say whether the
    objective and all output gaps at the upstream were expected to be within their
    targets, and harmed is the number of streams there that the grant was expected to
    make late; None unless the parts for uneven upstreams are in effect.
    """

    expected: float
    cached_tokens: int
    in_flight: int
    waiting: int
    waited: float
    expected_wait: float
    late: bool
    parked: int
    announced: float
    tokens: int
    rate_limit: float | None = None
    limit_age: float | None = None
    stated_percent: int | None = None
    stated_age: float | None = None
    objective_holds: bool | None = None
    gaps_hold: bool | None = None
    harmed: int | None = None


class Granted(NamedTuple):
    """Decision that the entry host may send the request to the upstream now.

    relays names hosts that reach the upstream, for an entry host that did not reach
    some upstreams a short time ago.
    """

    request_id: str
    entry_host: str
    upstream: str
    address: str
    incarnation: int
    basis: Basis | None = None
    relays: tuple[str, ...] = ()


class RefusalBasis(NamedTuple):
    """Values that a refusal was based on; times in seconds.

    tokens is the prompt plus the stated output, upstreams the number of upstreams the
    request was eligible for, and waiting the number of requests waiting in the pool.
    waited, expected_wait, late and parked are as in Basis. retry is a RetryBasis, None
    if the retry-after time isn't forecast. rank is that of the request's tier, and left
    the time until its deadline. bound is the RefusalBound that was exceeded, None where
    the reason names it, wait_now the wait expected at the refusal, and allowed_wait
    that up to which the request would have been kept.
    """

    tokens: int
    upstreams: int
    waiting: int
    waited: float
    expected_wait: float
    late: bool
    parked: int
    retry: str | None = None
    rank: int = 0
    left: float = 0.0
    bound: str | None = None
    wait_now: float | None = None
    allowed_wait: float | None = None


class Refused(NamedTuple):
    """Decision that the request is refused; retry_after is in seconds."""

    request_id: str
    entry_host: str
    reason: str
    retry_after: float
    basis: RefusalBasis | None = None


Decision = Granted | Refused


class Completion(NamedTuple):
    """End of a granted request, as reported by its entry host; times in seconds.

    outcome is done, failed, unknown, rejected (the upstream responded completely, with
    an error that is the request's own fault) or caller-gone. relay is the host through
    which the request was sent, empty for a direct connection. fault is a ResponseFault,
    empty if there was none.
    """

    request_id: str
    upstream: str
    outcome: str
    output_tokens: int
    cached_tokens: int | None
    first_token: float | None
    total: float
    in_time: bool
    load: UpstreamLoad | None = None
    relay: str = ""
    fault: str = ""


class CanaryAllowance(Protocol):
    """Limit on the requests that the candidate version of a rollout gets."""

    def is_open(self, now: float) -> bool:
        """Return whether the candidate version may get any request."""
        ...

    def take(self, route: str, now: float) -> bool:
        """Consume the allowance for a request of a route; return whether it may go."""
        ...


class Scheduler(Protocol):
    """Grants and refuses the requests of one pool.

    Every call takes the current time and returns the resulting decisions in order. A
    request gets one decision, Granted or Refused, and a further one if its grant was
    returned or expired while it waits.
    """

    def register(self, request: WaitingRequest, now: float) -> list[Decision]:
        """Add a request to the queue."""
        ...

    def register_all(
        self, requests: list[WaitingRequest], now: float
    ) -> list[Decision]:
        """Add requests that wait already to the queue, before granting any of them."""
        ...

    def cancel(self, request_id: str, now: float) -> list[Decision]:
        """Remove a waiting or running request whose caller disconnected."""
        ...

    def started(self, request_id: str, now: float) -> list[Decision]:
        """Record that the entry host started to send the request."""
        ...

    def runs_without(self, request_id: str, upstream: str, reason: str) -> bool:
        """Return whether a request runs, but not under a grant that is returned."""
        ...

    def returned(
        self,
        request_id: str,
        reason: str,
        waiting: bool,
        now: float,
        version: str | None = None,
        upstream_names: frozenset[str] | None = None,
        fault: str = "",
    ) -> list[Decision]:
        """Release the upstream of a grant that the entry host returned.

        reason says why: expired, refused-connection, not-admitted, failed, lost-answer,
        upstream-silent, upstream-left, upstream-paused, version-withdrawn,
        other-version, or the Reason for which the request is refused without a run
        (such as no-lease). With version, the request's stream has begun, and only
        upstream_names may go on with it. If waiting is true, the request is queued
        again at its old position. fault is the ResponseFault of its answer, if any.
        """
        ...

    def progress(
        self,
        request_id: str,
        output_tokens: int,
        now: float,
        first: float | None = None,
        work_percent: int | None = None,
    ) -> list[Decision]:
        """Record the number of output tokens of a running request so far.

        first is the time in seconds from sending to the first output, and work_percent
        how long work takes as stated by the response, if the entry host reported them.
        """
        ...

    def finished(self, completion: Completion, now: float) -> list[Decision]:
        """Record the end of a running request."""
        ...

    def adopt_running(
        self, request: WaitingRequest, upstream: str, output_tokens: int, now: float
    ) -> list[Decision]:
        """Track a running request that an earlier owner granted."""
        ...

    def announce(self, state: UpstreamState, now: float) -> tuple[bool, list[Decision]]:
        """Apply an announcement; return False if it is older than the known state."""
        ...

    def update_rate_limit(self, update: RateLimitUpdate, now: float) -> list[Decision]:
        """Apply the rate limit that a response of an upstream gave."""
        ...

    def apply_notice(self, update: NoticeUpdate, now: float) -> list[Decision]:
        """Apply what an upstream stated in its responses to an entry host."""
        ...

    def set_versions(
        self, rules: VersionRules, allowance: CanaryAllowance | None, now: float
    ) -> list[Decision]:
        """Apply version rules, and the allowance of the candidate version."""
        ...

    def review(self, fingerprints: frozenset[int], now: float) -> list[Decision]:
        """Reconsider waiting requests whose crash history has changed."""
        ...

    def set_limits(
        self, limits_by_workspace: dict[str, WorkspaceLimits], now: float
    ) -> list[Decision]:
        """Apply new workspace limits."""
        ...

    def tick(self, now: float) -> list[Decision]:
        """Handle timeouts: late requests, silent upstreams and expired grants."""
        ...

    def next_wake(self, now: float) -> float:
        """Return the time at which tick() is due if no other call comes first."""
        ...

    def take_events(self) -> list[UpstreamEvent]:
        """Return the changes in the state of upstreams since the last call."""
        ...

    def describe(self, now: float) -> dict[str, object]:
        """Return the scheduler's state for the state dump."""
        ...

    def explain_placement(
        self, request: WaitingRequest, now: float
    ) -> dict[str, object]:
        """Return where a request would be placed now, without changing any state."""
        ...


class PolicyParameters(NamedTuple):
    """Tuning parameters of one pool; times in seconds.

    kind is engine or plain.

    A grant expires after grant_seconds; the owner revokes it grant_grace later if its
    use was not reported. An upstream without an announcement for silence_seconds is not
    used, and a request is refused after no_upstream_seconds without any upstream.

    order names an Ordering, and fair enables fair queueing between workspaces. ageing
    is the number of seconds of waiting that outweigh one second of expected service. At
    most max_waiting requests wait. Each tier below the most important one may use
    lower_share of the slots before the tiers above it while it is not served more often
    than these.

    A request with more than long_factor times the mean work is long. Long requests hold
    at most the fraction long_slots of an upstream's slots, and long prefills run on at
    most the fraction long_prefills of the upstreams at a time.

    wait_share is the fraction of its slack that a request may be expected to wait.
    margin is the number of deviations added to an estimated completion. optimism is the
    weight, in that estimate, of an upstream's best speed against its present speed.
    prefix_weight is the cost of a second of prefill relative to the request's own
    delay. samples is the number of upstreams drawn at random in a large pool.

    A request is sent when the prefill outstanding at the upstream is expected to end
    within prefill_window, since engines have no priorities. No request is added to an
    upstream if guard times the present seconds per token would make running work of the
    same tier miss its deadline, or guard_higher times that for running work of a higher
    tier; guard 0 disables both checks. headroom is the fraction of an upstream's slots
    and memory that each tier leaves free for the tiers above it. adaptive limits the
    requests in flight below the upstream's slots according to its latency.

    uneven says whether the parts for upstreams of uneven speed are in effect: off,
    stated (from the first response that states a work time) or on.

    seed seeds the random number generator.
    """

    kind: str = const.KIND_ENGINE
    grant_seconds: float = const.DEFAULT_GRANT_SECONDS
    grant_grace: float = const.DEFAULT_GRANT_GRACE_SECONDS
    silence_seconds: float = const.DEFAULT_SILENCE_SECONDS
    no_upstream_seconds: float = const.DEFAULT_NO_UPSTREAM_SECONDS
    order: str = const.DEFAULT_ORDER
    fair: bool = True
    ageing: float = const.DEFAULT_AGEING
    long_factor: float = const.DEFAULT_LONG_FACTOR
    long_slots: float = const.DEFAULT_LONG_SLOTS
    wait_share: float = const.DEFAULT_WAIT_SHARE
    margin: float = const.DEFAULT_MARGIN
    prefix_weight: float = const.DEFAULT_PREFIX_WEIGHT
    prefill_window: float = const.DEFAULT_PREFILL_WINDOW
    long_prefills: float = const.DEFAULT_LONG_PREFILLS
    guard: float = const.DEFAULT_GUARD
    guard_higher: float = const.DEFAULT_GUARD_HIGHER
    headroom: float = const.DEFAULT_HEADROOM
    optimism: float = const.DEFAULT_OPTIMISM
    max_waiting: int = const.DEFAULT_MAX_WAITING
    samples: int = const.DEFAULT_SAMPLES
    adaptive: bool = True
    lower_share: float = 0.0
    uneven: str = const.UNEVEN_OFF
    seed: int = 1


DEFAULT_PARAMETERS = PolicyParameters()
"""Parameters of an engine pool without other settings."""
