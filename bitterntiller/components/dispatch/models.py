"""What the owner of a pool knows, hears and decides; no I/O, times in seconds."""

from typing import NamedTuple, Protocol

from bitterntiller.components.dispatch import const
from bitterntiller.components.dispatch.upstream_events import UpstreamEvent
from bitterntiller.components.rollouts.models import VersionRules


class WaitingRequest(NamedTuple):
    """A request that waits for an upstream; its body stays at the entry host.

    deadline and arrived are points in time of the owner's clock, in seconds.
    Token counts are the entry host's estimates. prefix_hashes name the prompt's
    growing prefixes, shortest first; prefix_tokens are their lengths, where they are
    known. first_by is when the first output must be there to be good, and start_by when
    its caller gives up without one, where these are set. tried are upstreams that did
    not admit it. fingerprint is the same for each copy of the request, 0 if not known.
    route is told while a rollout of the service is judged.
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


class UpstreamLoad(NamedTuple):
    """A load report of an upstream; measured_at is on the owner's clock."""

    running: int
    waiting: int
    kv_tokens: int
    measured_at: float


class CacheChange(NamedTuple):
    """One cache event of an upstream, late and perhaps with gaps before it."""

    sequence: int
    stored: bool
    prefix_hash: int


class UpstreamState(NamedTuple):
    """What an upstream says of itself in an announcement."""

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
    """What an answer of one start of an upstream named as its limit.

    limit is in requests a second over all hosts, None for no limit; at is when the
    answer began, on the owner's clock.
    """

    upstream: str
    incarnation: str
    limit: float | None
    at: float


class WorkspaceLimits(NamedTuple):
    """The limits of a workspace, from its labels; None is without limit.

    rate is in requests a second.
    """

    share: float = 1.0
    concurrency: int | None = None
    rate: float | None = None


class Basis(NamedTuple):
    """What a grant was decided by; times in seconds.

    expected is the time of service, waited that since the arrival, expected_wait the
    wait that was expected then. late tells that it was put behind its tier since its
    objective was about to be missed, parked how often no free upstream could end it in
    time while a busy one might. announced is how old the newest announcement of
    the upstream is. tokens is the request's prompt with the output that is stated.
    rate_limit is what the upstream's answers name in requests a second, as heard
    limit_age seconds ago.
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


class Granted(NamedTuple):
    """Decision: the entry host may send the request to the upstream now."""

    request_id: str
    entry_host: str
    upstream: str
    address: str
    incarnation: int
    basis: Basis | None = None


class RefusalBasis(NamedTuple):
    """What a refusal was decided by; times in seconds.

    tokens is the request's prompt with the output that is stated, upstreams how many
    the request could have gone to, waiting how many requests of the pool wait. waited,
    expected_wait, late and parked are those of Basis.
    """

    tokens: int
    upstreams: int
    waiting: int
    waited: float
    expected_wait: float
    late: bool
    parked: int


class Refused(NamedTuple):
    """Decision: the request is given up; retry_after is in seconds."""

    request_id: str
    entry_host: str
    reason: str
    retry_after: float
    basis: RefusalBasis | None = None


Decision = Granted | Refused


class Completion(NamedTuple):
    """How a granted request ended, as its entry host tells; times in seconds.

    outcome is done, failed, unknown, rejected (the upstream's whole answer blames
    the request) or caller-gone.
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


class CanaryAllowance(Protocol):
    """How many requests may go to a version that is judged; times in seconds."""

    def is_open(self, now: float) -> bool:
        """Tell whether any request may go there."""
        ...

    def take(self, route: str, now: float) -> bool:
        """Use the allowance for a request, if it may go there."""
        ...


class Scheduler(Protocol):
    """Decides for one pool.

    Every call takes the present time in seconds and returns the decisions that
    follow from it, in order. A request gets one Granted, unless the grant is
    returned, or one Refused.
    """

    def register(self, request: WaitingRequest, now: float) -> list[Decision]:
        """Take a request into the queue."""
        ...

    def register_all(
        self, requests: list[WaitingRequest], now: float
    ) -> list[Decision]:
        """Take requests that wait already, before any of them is granted."""
        ...

    def cancel(self, request_id: str, now: float) -> list[Decision]:
        """Forget a request whose caller has gone, waiting or running."""
        ...

    def started(self, request_id: str, now: float) -> list[Decision]:
        """Note that the entry host began to send under its grant."""
        ...

    def returned(
        self, request_id: str, reason: str, waiting: bool, now: float
    ) -> list[Decision]:
        """Take back an unused grant; the request had not run.

        reason is expired, refused-connection, not-admitted or lease. When
        waiting is true the request goes back to its old place in the queue.
        """
        ...

    def progress(
        self,
        request_id: str,
        output_tokens: int,
        now: float,
        first: float | None = None,
    ) -> list[Decision]:
        """Note how many output tokens a running request has got so far.

        first is how many seconds after its sending the first output came, where the
        entry host has told.
        """
        ...

    def finished(self, completion: Completion, now: float) -> list[Decision]:
        """Note the end of a running request."""
        ...

    def adopt_running(
        self, request: WaitingRequest, upstream: str, output_tokens: int, now: float
    ) -> list[Decision]:
        """Count a request that was granted by an earlier owner and runs."""
        ...

    def announce(self, state: UpstreamState, now: float) -> tuple[bool, list[Decision]]:
        """Take an announcement; False for one older than what is known."""
        ...

    def update_rate_limit(self, update: RateLimitUpdate, now: float) -> list[Decision]:
        """Take note of the limit that an answer of an upstream named."""
        ...

    def set_versions(
        self, rules: VersionRules, allowance: CanaryAllowance | None, now: float
    ) -> list[Decision]:
        """Put version rules in force; what is judged is sent under the allowance."""
        ...

    def review(self, fingerprints: frozenset[int], now: float) -> list[Decision]:
        """Decide anew on waiting copies of requests of whose crashes there is news."""
        ...

    def set_limits(
        self, limits_by_workspace: dict[str, WorkspaceLimits], now: float
    ) -> list[Decision]:
        """Put new limits of workspaces in force."""
        ...

    def tick(self, now: float) -> list[Decision]:
        """Do what time alone brings: lateness, silence, lapsed grants."""
        ...

    def next_wake(self, now: float) -> float:
        """Return the time at which tick() is due, if nothing happens before."""
        ...

    def take_events(self) -> list[UpstreamEvent]:
        """Return what it has come to believe of upstreams since the last call."""
        ...

    def describe(self, now: float) -> dict[str, object]:
        """Return the owner's view for the dump."""
        ...


class PolicyParameters(NamedTuple):
    """What may be tuned in the decisions of one pool; times in seconds.

    kind is engine or plain. A grant that was not heard of is taken back
    grant_grace after it lapsed. order names an Ordering and fair turns on the
    sharing between workspaces. ageing is how many seconds of waiting outweigh
    one second of expected service. A request of long_factor times the mean
    work is long, and long ones hold at most long_slots of an upstream's slots.
    wait_share is the part of a request's slack that it may be expected to
    wait. margin is how many deviations are added to an estimate of completion.
    prefix_weight is the price of a second of prefill beside the request's own
    delay. A request is sent on when the prefill outstanding at the upstream is
    expected to end within prefill_window, since engines know no priority. Long
    prefills run at most on long_prefills of the upstreams at once. No work is
    added to an upstream while guard times the present seconds per token would
    bring running work of the same tier past its deadline, or guard_higher times
    that of a higher tier; guard 0 turns both off. headroom is the part of an
    upstream's slots and memory that is kept free by each tier for those above
    it. optimism is the weight of an upstream's best speed, beside its present
    one, in the estimate of completion. samples is how many upstreams are drawn
    where there are many. With adaptive the requests in flight are bounded by what the
    latency of an upstream shows, below its slots. Each tier below the most important
    one may hold lower_share of the slots before the tiers above it.
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
    seed: int = 1


DEFAULT_PARAMETERS = PolicyParameters()
"""The parameters of an engine pool that was told nothing else."""
