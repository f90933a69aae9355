"""Which upstreams this host reaches, and which other hosts reached them for it."""

import random
from collections.abc import Callable, Iterable, Iterator

from bitterntiller.components.paths.const import (
    EXPLORED_FRACTION,
    MAX_KEPT_PATHS,
    MAX_PROBES,
    PROBE_PERIOD,
    RELAY_MEMORY_SECONDS,
    SUSPECT_SECONDS,
    UNREPEATABLE_TRIAL_SECONDS,
    UNUSED_SECONDS,
)
from bitterntiller.components.paths.models import (
    NO_BYTES,
    CarriedBytes,
    DueProbe,
    FailedPath,
    PathFault,
    RelayCandidate,
)
from bitterntiller.components.paths.trials import next_trial

REACHED = 0
UNTRIED = 1
FAILED = 2
"""Ranks of hosts to send through; a lower one comes first."""


class HostPaths:
    """The failed paths of this host by upstream address; working ones aren't kept.

    A path counts as failed from a fault until it has carried an answer of the upstream
    to what was sent after that fault, with at least as many bytes as it had lost. A
    fault of what began before the path was regained doesn't count.
    """

    def __init__(self, zone: str, rng: random.Random | None = None) -> None:
        self._zone = zone
        self._rng = rng or random.Random()
        self._failed_by_address: dict[str, FailedPath] = {}
        self._regained_at_by_address: dict[str, float] = {}
        self._silent_at = float("-inf")
        self._relay_results: dict[tuple[str, str], tuple[bool, float]] = {}

    def is_failed(self, address: str) -> bool:
        """Return whether this host does not reach an upstream."""
        return address in self._failed_by_address

    def fault(self, address: str) -> PathFault | None:
        """Return the last fault of a failed path, None for a working one."""
        path = self._failed_by_address.get(address)
        return None if path is None else path.fault

    def leads_around(self, address: str) -> bool:
        """Return whether requests go through another host without a direct attempt.

        A refused connection costs a request nothing, so it is attempted first.
        """
        return self.fault(address) not in (None, PathFault.REFUSED)

    def record_use(self, address: str, now: float) -> None:
        """Record that a request needs a failed path, which keeps it probed."""
        known = self._failed_by_address.get(address)
        if known is not None:
            self._failed_by_address[address] = known._replace(used_at=now)

    def take_trial(self, address: str, repeatable: bool, now: float) -> bool:
        """Return whether a request is to test a failed path that no probe can test."""
        known = self._failed_by_address.get(address)
        if known is None or not known.needs_trial:
            return False
        after = next_trial(known, repeatable, now)
        if after is None:
            return False
        self._failed_by_address[address] = after
        return True

    def record_carried(
        self, address: str, carried: CarriedBytes, sent_at: float, now: float
    ) -> bool:
        """Record an answer of an upstream; return whether it ends a fault of its path.

        sent_at is when the request that it answers was sent, or an earlier time. The
        other failed paths are probed at once, since they may work as well.
        """
        known = self._failed_by_address.get(address)
        if known is None or sent_at <= known.fault_at:
            return False
        if not carried.covers(known.needed):
            return False
        del self._failed_by_address[address]
        self._regained_at_by_address.pop(address, None)
        self._regained_at_by_address[address] = now
        while len(self._regained_at_by_address) > MAX_KEPT_PATHS:
            del self._regained_at_by_address[next(iter(self._regained_at_by_address))]
        for other, path in self._failed_by_address.items():
            self._failed_by_address[other] = path._replace(probe_at=0.0)
        return True

    def record_failed(
        self,
        address: str,
        upstream: str,
        fault: PathFault,
        now: float,
        needed: CarriedBytes = NO_BYTES,
        pool: str = "",
        began_at: float | None = None,
    ) -> bool:
        """Record a fault; return whether the path counted as working.

        needed is what the path must carry to count as working again. began_at is when
        that which failed was begun, now if it isn't given.
        """
        began_at = now if began_at is None else began_at
        if began_at < self._regained_at_by_address.get(address, float("-inf")):
            return False
        if fault is PathFault.SILENT:
            self._silent_at = now
        known = self._failed_by_address.get(address)
        if known is not None:
            # What began before the last fault shows nothing of the time after it.
            again = began_at > known.fault_at
            self._failed_by_address[address] = known._replace(
                fault=fault,
                needed=known.needed.most(needed.bounded()),
                fault_at=now if again else known.fault_at,
            )
            return False
        self._failed_by_address[address] = FailedPath(
            upstream=upstream,
            pool=pool,
            fault=fault,
            needed=needed.bounded(),
            failed_at=now,
            fault_at=now,
            used_at=now,
            probe_at=now + PROBE_PERIOD,
            # At once: the upstream may have truncated its response by itself.
            trial_at=now,
            unrepeatable_at=now + UNREPEATABLE_TRIAL_SECONDS,
        )
        while len(self._failed_by_address) > MAX_KEPT_PATHS:
            del self._failed_by_address[next(iter(self._failed_by_address))]
        return True

    def trusted_since(self, now: float) -> float:
        """Return since when an idle connection must have been in use to be reused.

        After a silent failure, older ones may be as silent.
        """
        if now - self._silent_at > SUSPECT_SECONDS:
            return float("-inf")
        return self._silent_at

    def is_suspect(self, now: float) -> bool:
        """Return whether a path of this host has failed silently a short time ago."""
        return now - self._silent_at <= SUSPECT_SECONDS

    def due_probes(
        self, now: float, is_announced: Callable[[str], bool] = lambda upstream: True
    ) -> list[DueProbe]:
        """Return the failed paths to probe now.

        Drop the paths that no request needed for UNUSED_SECONDS. A path to an upstream
        that isn't announced waits for its next announcement: it gets no requests until
        then, and every host would probe the address of an ended process each second.
        """
        due: list[DueProbe] = []
        for address, path in list(self._failed_by_address.items()):
            if now - path.used_at > UNUSED_SECONDS:
                del self._failed_by_address[address]
            elif (
                path.needs_trial
                or is_announced is not None
                and not is_announced(path.upstream)
            ):
                continue
            elif now >= path.probe_at and len(due) < MAX_PROBES:
                again = path._replace(probe_at=now + PROBE_PERIOD)
                self._failed_by_address[address] = again
                due.append(
                    DueProbe(address, path.upstream, path.pool, path.needed.sent)
                )
        return due

    def record_relay(
        self,
        address: str,
        relay: str,
        reached: bool,
        now: float,
        sent_at: float | None = None,
    ) -> None:
        """Record whether another host reached an upstream for this one.

        An answer to what was sent before that host failed to doesn't count. sent_at is
        now if it isn't given.
        """
        sent_at = now if sent_at is None else sent_at
        for key in ((address, relay), ("", relay)):
            known = self._relay_results.pop(key, None)
            if reached and known is not None and not known[0] and sent_at < known[1]:
                self._relay_results[key] = known
                continue
            self._relay_results[key] = (reached, now)
        while len(self._relay_results) > MAX_KEPT_PATHS:
            del self._relay_results[next(iter(self._relay_results))]

    def rank_relays(
        self,
        address: str,
        candidates: Iterable[RelayCandidate],
        named: tuple[str, ...],
        now: float,
    ) -> list[RelayCandidate]:
        """Return the candidates, the one most likely to reach an upstream first.

        Hosts that reached it a short time ago come first, then those that the owner
        named, and last those that failed. Other zones come before this one, in which
        paths may have failed together. Now and then one that wasn't tried comes first,
        so that a single host doesn't carry all requests of this one.
        """

        def rank(candidate: RelayCandidate) -> tuple[int, bool, int, bool, float]:
            return (
                self._relay_rank(address, candidate.name, now),
                candidate.name not in named,
                self._relay_rank("", candidate.name, now),
                candidate.zone == self._zone,
                self._rng.random(),
            )

        ranked = sorted(candidates, key=rank)
        if self._rng.random() < EXPLORED_FRACTION:
            for index, candidate in enumerate(ranked):
                if self._relay_rank(address, candidate.name, now) == UNTRIED:
                    ranked.insert(0, ranked.pop(index))
                    break
        return ranked

    def describe(self, now: float) -> dict[str, dict[str, object]]:
        """Return the failed paths by upstream address, for the state dump."""
        return {
            address: {
                "upstream": path.upstream,
                "failed_seconds": round(now - path.failed_at, 3),
                "fault": path.fault,
                "needed_bytes": path.needed._asdict(),
                "reached_through": list(self._reached_through(address, now)),
            }
            for address, path in self._failed_by_address.items()
        }

    def _reached_through(self, address: str, now: float) -> Iterator[str]:
        for (known, relay), (reached, at) in self._relay_results.items():
            if known == address and reached and now - at <= RELAY_MEMORY_SECONDS:
                yield relay

    def _relay_rank(self, address: str, relay: str, now: float) -> int:
        result = self._relay_results.get((address, relay))
        if result is None or now - result[1] > RELAY_MEMORY_SECONDS:
            return UNTRIED
        return REACHED if result[0] else FAILED
