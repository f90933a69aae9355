"""What has crashed upstreams, and the quarantines that follow; no I/O.

Each copy of a request has its own id, so requests are identified by a fingerprint, and
so are the parts of their prompts. Each process of an upstream counts once, whichever
host reports its end: histories of several hosts can be merged in any order with the
same result.
"""

from collections.abc import Iterable, Sequence

import xxhash

from bitterntiller.components.crashes import const
from bitterntiller.components.crashes.blocks import Blocks
from bitterntiller.components.crashes.models import Clearing, Crash, CrashUpdate
from bitterntiller.core.interfaces import Conviction


class _Entry:
    __slots__ = ("cleared_at", "crashes_by_process", "workspace")

    def __init__(self, workspace: int = 0) -> None:
        self.workspace = workspace
        self.cleared_at = float("-inf")
        self.crashes_by_process: dict[tuple[str, str], Crash] = {}

    def newest_at(self) -> float:
        ends = (crash.at for crash in self.crashes_by_process.values())
        return max(ends, default=self.cleared_at)

    def expired(self, now: float) -> bool:
        convicted = len(self.crashes_by_process) >= const.QUARANTINE_THRESHOLD
        kept = const.RETENTION_SECONDS if convicted else const.SUSPICION_SECONDS
        return now - self.newest_at() > kept


class CrashHistory:
    """Counts crashes by fingerprint, bounded in number and in age; a core CrashView.

    A fingerprint with QUARANTINE_THRESHOLD crashes, or CAUTIOUS_THRESHOLD where many
    upstreams crash without it, is quarantined for FIRST_QUARANTINE_SECONDS. After that
    one request with it may run as a trial. A response that shows that it does no harm
    clears the fingerprint; a failed trial quarantines it for QUARANTINE_SECONDS, and
    each further one for twice as long. Crashes of requests that were sent before the
    earlier crashes were known are no trials: they may all have one cause, which ran
    beside them. A fingerprint that an operator blocks is kept from upstreams whatever
    else is known of it.
    """

    def __init__(self) -> None:
        self._entries_by_fingerprint: dict[int, _Entry] = {}
        self._fingerprints_by_process: dict[tuple[str, str], set[int]] = {}
        self._crashed_at_by_process: dict[tuple[str, str], float] = {}
        self._blocks = Blocks()
        self._highest_count: int | None = 0

    def merge(self, update: CrashUpdate, now: float) -> CrashUpdate:
        """Merge an update into this history; return the part that is new."""
        crashes = tuple(item for item in update.crashes if self._add_crash(item, now))
        clearings = tuple(
            item for item in update.clearings if self._add_clearing(item, now)
        )
        self._evict_excess()
        return CrashUpdate(crashes, clearings, self._blocks.merge(update.blocks, now))

    @property
    def any(self) -> bool:
        """Return whether there may be any crashes."""
        return bool(self._fingerprints_by_process)

    @property
    def highest_count(self) -> int:
        """Return how many upstreams have crashed under one fingerprint at most.

        Crashes that are too old may still count.
        """
        if self._highest_count is None:
            entries = self._entries_by_fingerprint.values()
            counts = (len(entry.crashes_by_process) for entry in entries)
            self._highest_count = max(counts, default=0)
        return self._highest_count

    def count(self, fingerprint: int, now: float) -> int:
        """Return how many upstreams have crashed under a fingerprint."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or entry.expired(now):
            return 0
        return len(entry.crashes_by_process)

    def upstreams(self, fingerprint: int, since: float) -> frozenset[str]:
        """Return the upstreams that have crashed under a fingerprint since a time."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None:
            return frozenset()
        crashes = entry.crashes_by_process.values()
        return frozenset(crash.upstream for crash in crashes if crash.at >= since)

    def crashed_at(self, fingerprint: int) -> float:
        """Return when the latest upstream crashed under a fingerprint that has some."""
        return self._entries_by_fingerprint[fingerprint].newest_at()

    def conviction(self, fingerprints: Sequence[int], now: float) -> Conviction | None:
        """Return why a request with these fingerprints may not be sent, if so.

        It may not if one of them is quarantined and the request also holds all others
        that explain the same crashes. A request without some of these may run alone:
        its end shows which of them is at fault.
        """
        found: Conviction | None = None
        for fingerprint in fingerprints if self.any or self._blocks else ():
            blocked = self.blocked_for(fingerprint, now)
            seconds = blocked
            quarantined = self.quarantined_for(fingerprint, now)
            if quarantined > blocked:
                explained = self._explanations(fingerprint).issubset(fingerprints)
                seconds = quarantined if explained else blocked
            if seconds and (found is None or seconds > found.seconds):
                count = self.count(fingerprint, now)
                found = Conviction(fingerprint, count, seconds, bool(blocked))
        return found

    def knows(self, crash: Crash) -> bool:
        """Return whether the end of a process counts against a fingerprint already."""
        entry = self._entries_by_fingerprint.get(crash.fingerprint)
        return entry is not None and _process_key(crash) in entry.crashes_by_process

    def has_ended(self, upstream: str, incarnation: str) -> bool:
        """Return whether a process of an upstream is known to have ended."""
        return (upstream, incarnation) in self._crashed_at_by_process

    def blocked_for(self, fingerprint: int, now: float) -> float:
        """Return the seconds for which an operator still blocks a fingerprint."""
        return self._blocks.seconds_left(fingerprint, now)

    def trials_failed(self, fingerprint: int, now: float) -> int:
        """Return how many crashes were failed trials, 0 if it isn't quarantined."""
        return self._trials_failed(fingerprint, now) or 0

    def _trials_failed(self, fingerprint: int, now: float) -> int | None:
        """Return how many crashes were failed trials, None if too few quarantine it.

        They are the largest number of crashes, after those that quarantine, each under
        a request that was sent when the one before was known. Hosts find the same in
        whichever order they hear of them.
        """
        count = self.count(fingerprint, now)
        if count < const.QUARANTINE_THRESHOLD:
            return None
        entry = self._entries_by_fingerprint[fingerprint]
        threshold = self._threshold(count, entry.newest_at())
        if count < threshold:
            return None
        crashes = sorted(entry.crashes_by_process.values(), key=lambda item: item.at)
        known_at = crashes[threshold - 1].at + const.KNOWN_SECONDS
        failed = 0
        for crash in crashes[threshold:]:
            if crash.sent_at > known_at:
                failed += 1
                known_at = crash.at + const.KNOWN_SECONDS
        return failed

    def _explanations(self, fingerprint: int) -> set[int]:
        """Return the fingerprints under which the same upstreams have crashed."""
        processes = self._entries_by_fingerprint[fingerprint].crashes_by_process
        found = (self._fingerprints_by_process[process] for process in processes)
        return set.intersection(*found)

    def quarantined_for(self, fingerprint: int, now: float) -> float:
        """Return the remaining quarantine in seconds, 0 without one."""
        trials_failed = self._trials_failed(fingerprint, now)
        if trials_failed is None:
            return 0.0
        newest_at = self._entries_by_fingerprint[fingerprint].newest_at()
        return max(0.0, newest_at + _quarantine_seconds(trials_failed) - now)

    def _threshold(self, count: int, newest_at: float) -> int:
        """Return the number of crashes from which a fingerprint is quarantined."""
        recent = sum(
            newest_at - const.RECENT_SECONDS <= at <= newest_at
            for at in self._crashed_at_by_process.values()
        )
        if count >= const.EXPLAINED_SHARE * recent:
            return const.QUARANTINE_THRESHOLD
        return const.CAUTIOUS_THRESHOLD

    def snapshot(self, now: float) -> CrashUpdate:
        """Return the whole history."""
        self.expire(now)
        entries = self._entries_by_fingerprint
        crashes = [
            crash
            for entry in entries.values()
            for crash in entry.crashes_by_process.values()
        ]
        clearings = [
            Clearing(fingerprint, entry.cleared_at)
            for fingerprint, entry in entries.items()
            if entry.cleared_at > float("-inf")
        ]
        return CrashUpdate(tuple(crashes), tuple(clearings), tuple(self._blocks))

    def missing_from(self, other: CrashUpdate, now: float) -> CrashUpdate:
        """Return the part of this history that another host's update lacks."""
        known = {
            (item.fingerprint, *_process_key(item)): item for item in other.crashes
        }
        cleared_at = {item.fingerprint: item.at for item in other.clearings}
        others = Blocks()
        others.merge(other.blocks, now)
        own = self.snapshot(now)
        crashes = (
            item
            for item in own.crashes
            if _is_news(item, known.get((item.fingerprint, *_process_key(item))))
        )
        clearings = (
            item
            for item in own.clearings
            if item.at
            > cleared_at.get(item.fingerprint, float("-inf")) + const.TIME_TOLERANCE
        )
        blocks = tuple(item for item in own.blocks if others.is_newer(item))
        return CrashUpdate(tuple(crashes), tuple(clearings), blocks)

    def digest(self, now: float) -> int:
        """Return a number that is equal on hosts with equal histories."""
        known = self.snapshot(now)
        digest = 0
        for item in known.crashes:
            digest ^= _hash(item.fingerprint, *_process_key(item))
        for item in known.clearings:
            digest ^= _hash(item.fingerprint)
        for block in known.blocks:
            digest ^= _hash(block.fingerprint, round(block.seconds))
        return digest

    def expire(self, now: float) -> None:
        """Drop entries that are too old."""
        self._blocks.expire(now)
        for fingerprint, entry in list(self._entries_by_fingerprint.items()):
            if entry.expired(now):
                self._drop(fingerprint)
        for process, at in list(self._crashed_at_by_process.items()):
            if (
                now - at > const.SUSPICION_SECONDS
                and process not in self._fingerprints_by_process
            ):
                del self._crashed_at_by_process[process]

    def fingerprints(self) -> Iterable[int]:
        """Return the fingerprints with crashes."""
        entries = self._entries_by_fingerprint
        return [key for key, entry in entries.items() if entry.crashes_by_process]

    def _add_crash(self, crash: Crash, now: float) -> bool:
        if now - crash.at > const.RETENTION_SECONDS:
            return False
        entries = self._entries_by_fingerprint
        self._crashed_at_by_process.setdefault(_process_key(crash), crash.at)
        entry = entries.get(crash.fingerprint)
        if entry is None:
            entry = entries[crash.fingerprint] = _Entry(crash.workspace)
        known = entry.crashes_by_process.get(_process_key(crash))
        if crash.at <= entry.cleared_at or not _is_news(crash, known):
            return False
        entry.crashes_by_process[_process_key(crash)] = crash
        self._highest_count = None
        held = self._fingerprints_by_process.setdefault(_process_key(crash), set())
        held.add(crash.fingerprint)
        return True

    def _add_clearing(self, clearing: Clearing, now: float) -> bool:
        if now - clearing.at > const.RETENTION_SECONDS:
            return False
        entries = self._entries_by_fingerprint
        entry = entries.get(clearing.fingerprint)
        if entry is None:
            entry = entries[clearing.fingerprint] = _Entry()
        if clearing.at <= entry.cleared_at + const.TIME_TOLERANCE:
            return False
        entry.cleared_at = clearing.at
        self._highest_count = None
        for process, crash in list(entry.crashes_by_process.items()):
            if crash.at <= clearing.at:
                del entry.crashes_by_process[process]
                self._forget(process, clearing.fingerprint)
        return True

    def _drop(self, fingerprint: int) -> None:
        entry = self._entries_by_fingerprint.pop(fingerprint)
        self._highest_count = None
        for process in entry.crashes_by_process:
            self._forget(process, fingerprint)

    def _forget(self, process: tuple[str, str], fingerprint: int) -> None:
        held = self._fingerprints_by_process[process]
        held.discard(fingerprint)
        if not held:
            del self._fingerprints_by_process[process]

    def _evict_excess(self) -> None:
        """Evict fingerprints of the workspaces that have most of them.

        A workspace that crashes an upstream with each request evicts only its own.
        """
        entries = self._entries_by_fingerprint
        excess = len(entries) - const.MAX_FINGERPRINTS
        if excess <= 0:
            return

        def weight(fingerprint: int) -> tuple[int, float]:
            entry = entries[fingerprint]
            return len(entry.crashes_by_process), entry.newest_at()

        by_workspace: dict[int, list[int]] = {}
        for fingerprint in sorted(entries, key=weight, reverse=True):
            workspace = entries[fingerprint].workspace
            by_workspace.setdefault(workspace, []).append(fingerprint)
        for _ in range(excess):
            largest = max(by_workspace.values(), key=len)
            self._drop(largest.pop())


MAX_DOUBLINGS = 16


def _hash(*parts: object) -> int:
    return xxhash.xxh3_64_intdigest(repr(parts).encode()) >> 1


def _process_key(crash: Crash) -> tuple[str, str]:
    return crash.upstream, crash.incarnation


def _is_news(crash: Crash, known: Crash | None) -> bool:
    return known is None or crash.supersedes(known)


def _quarantine_seconds(trials_failed: int) -> float:
    """Return the quarantine after some failed trials."""
    if not trials_failed:
        return const.FIRST_QUARANTINE_SECONDS
    doublings = min(trials_failed - 1, MAX_DOUBLINGS)
    return min(const.QUARANTINE_SECONDS * 2**doublings, const.MAX_QUARANTINE_SECONDS)
