"""Which hosts reach which upstreams, as the owner of a pool learns it from requests."""

from typing import NamedTuple

from bitterntiller.components.paths.const import (
    FIRST_PAUSE_SECONDS,
    FRESH_SECONDS,
    KEPT_SECONDS,
    LOST_TO_FAILED,
    MAX_NAMED_RELAYS,
    MAX_PAUSE_SECONDS,
    MAX_REACHING_HOSTS,
    RELAY_MEMORY_SECONDS,
)

NO_NAMES: frozenset[str] = frozenset()


class PathFailure(NamedTuple):
    """The failures of a path since its last success; times on the owner's clock.

    count is the number of lost responses, pause the seconds for which the host gets no
    requests for the upstream. paused_until is 0 while the path counts as working.
    """

    at: float
    count: int = 0
    pause: float = 0.0
    paused_until: float = 0.0


class PathTable:
    """The recent successes and failures by upstream and host.

    Working paths take no memory but for the hosts that reached an upstream last.
    """

    def __init__(self) -> None:
        self._reached_at_by_host_by_upstream: dict[str, dict[str, float]] = {}
        self._failure_by_upstream_by_host: dict[str, dict[str, PathFailure]] = {}
        self._relayed_at_by_host: dict[str, float] = {}

    def record_reached(
        self, host: str, upstream: str, now: float, sent_at: float | None = None
    ) -> bool:
        """Record a response of an upstream; return whether it ends a failed path.

        sent_at is when its request was granted, now if it isn't given. The response to
        one of before the last failure doesn't end the failure of a path.
        """
        sent_at = now if sent_at is None else sent_at
        failures = self._failure_by_upstream_by_host.get(host, {})
        failure = failures.get(upstream)
        if failure is not None and failure.pause and sent_at <= failure.at:
            return False
        reached = self._reached_at_by_host_by_upstream.setdefault(upstream, {})
        reached.pop(host, None)
        reached[host] = now
        if len(reached) > MAX_REACHING_HOSTS:
            del reached[next(iter(reached))]
        if failure is None:
            return False
        del failures[upstream]
        if not failures:
            del self._failure_by_upstream_by_host[host]
        return failure.paused_until > 0.0

    def record_failed_upstream(self, host: str, upstream: str, now: float) -> None:
        """Record a failure of an upstream that no other host reaches either."""
        failures = self._failure_by_upstream_by_host.setdefault(host, {})
        known = failures.get(upstream, PathFailure(now))
        failures[upstream] = known._replace(at=now)

    def record_failed_path(
        self, host: str, upstream: str, certain: bool, now: float
    ) -> bool:
        """Record a failure; return whether the path counts as failed since then.

        certain is set if no connection was established, false for a lost response.
        """
        failures = self._failure_by_upstream_by_host.setdefault(host, {})
        known = failures.get(upstream, PathFailure(now))
        if now < known.paused_until:
            # An attempt that began before the pause.
            return False
        count = known.count + 1
        if not certain and count < LOST_TO_FAILED and not known.pause:
            failures[upstream] = known._replace(at=now, count=count)
            return False
        pause = min(2 * known.pause or FIRST_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
        failures[upstream] = PathFailure(now, count, pause, now + pause)
        return not known.pause

    def reached_by_another(self, host: str, upstream: str, now: float) -> bool:
        """Return whether another host reaches an upstream that this one has failed to.

        That host had a success within FRESH_SECONDS and no failure since.
        """
        reached = self._reached_at_by_host_by_upstream.get(upstream, {})
        return any(
            other != host
            and now - at <= FRESH_SECONDS
            and not self._failed_since(other, upstream, at)
            for other, at in reached.items()
        )

    def record_relayed(self, host: str, now: float) -> None:
        """Record that a host sent a request through another one."""
        self._relayed_at_by_host[host] = now

    def uses_relays(self, host: str, now: float) -> bool:
        """Return whether a host had to go through another one a short time ago."""
        relayed_at = self._relayed_at_by_host.get(host)
        return relayed_at is not None and now - relayed_at <= RELAY_MEMORY_SECONDS

    def relays(self, host: str, upstream: str, now: float) -> tuple[str, ...]:
        """Return the hosts that a host may go through, if it had to a short time ago.

        These are the hosts that reached the upstream last, within RELAY_MEMORY_SECONDS.
        """
        if not self.uses_relays(host, now):
            return ()
        reached = self._reached_at_by_host_by_upstream.get(upstream, {})
        found = [
            other
            for other, at in reversed(reached.items())
            if other != host and now - at <= RELAY_MEMORY_SECONDS
        ]
        return tuple(found[:MAX_NAMED_RELAYS])

    def unreached(self, host: str, now: float) -> frozenset[str]:
        """Return the upstreams for which a host gets no requests now."""
        failures = self._failure_by_upstream_by_host.get(host)
        if failures is None:
            return NO_NAMES
        return frozenset(
            name for name, failure in failures.items() if now < failure.paused_until
        )

    def unreached_by(self, upstream: str) -> dict[str, float]:
        """Return when the path to an upstream failed last, by host."""
        return {
            host: failures[upstream].at
            for host, failures in self._failure_by_upstream_by_host.items()
            if upstream in failures and failures[upstream].pause
        }

    def forget_upstream(self, upstream: str) -> None:
        """Drop what is known of an upstream whose process has ended."""
        self._reached_at_by_host_by_upstream.pop(upstream, None)
        for host, failures in list(self._failure_by_upstream_by_host.items()):
            failures.pop(upstream, None)
            if not failures:
                del self._failure_by_upstream_by_host[host]

    def prune(self, now: float) -> None:
        """Drop what is older than KEPT_SECONDS."""
        for host, at in list(self._relayed_at_by_host.items()):
            if now - at > KEPT_SECONDS:
                del self._relayed_at_by_host[host]
        for host, failures in list(self._failure_by_upstream_by_host.items()):
            for upstream, failure in list(failures.items()):
                if now - failure.at > KEPT_SECONDS:
                    del failures[upstream]
            if not failures:
                del self._failure_by_upstream_by_host[host]
        for upstream, reached in list(self._reached_at_by_host_by_upstream.items()):
            for host, at in list(reached.items()):
                if now - at <= KEPT_SECONDS:
                    break
                del reached[host]
            if not reached:
                del self._reached_at_by_host_by_upstream[upstream]

    def _failed_since(self, host: str, upstream: str, at: float) -> bool:
        failure = self._failure_by_upstream_by_host.get(host, {}).get(upstream)
        return failure is not None and failure.at >= at
