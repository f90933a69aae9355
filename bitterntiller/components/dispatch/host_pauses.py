"""Upstreams that want no requests from certain entry hosts for some time; no I/O."""

from collections.abc import Iterator

NO_NAMES: frozenset[str] = frozenset()


class HostPauses:
    """The end of each pause by entry host and upstream, on the owner's clock.

    Entry hosts keep their pauses themselves. The owner needs them to send the requests
    of such a host to other upstreams instead of granting in vain.
    """

    def __init__(self) -> None:
        self._until_by_name_by_host: dict[str, dict[str, float]] = {}

    def set(self, host: str, upstream: str, until: float) -> None:
        """Extend the pause of an upstream towards an entry host to a time."""
        until_by_name = self._until_by_name_by_host.setdefault(host, {})
        until_by_name[upstream] = max(until, until_by_name.get(upstream, until))

    def names(self, host: str, now: float) -> frozenset[str]:
        """Return the upstreams that want no requests from an entry host now."""
        until_by_name = self._until_by_name_by_host.get(host)
        if until_by_name is None:
            return NO_NAMES
        return frozenset(name for name, until in until_by_name.items() if now < until)

    def forget_upstream(self, upstream: str) -> None:
        """Drop the pauses of an upstream whose process has ended."""
        for until_by_name in self._until_by_name_by_host.values():
            until_by_name.pop(upstream, None)

    def prune(self, now: float) -> None:
        """Drop the pauses that have ended."""
        for host, until_by_name in list(self._until_by_name_by_host.items()):
            kept = {name: until for name, until in until_by_name.items() if now < until}
            if kept:
                self._until_by_name_by_host[host] = kept
            else:
                del self._until_by_name_by_host[host]

    def hosts(self, upstream: str, now: float) -> Iterator[tuple[str, float]]:
        """Yield the entry hosts that an upstream wants to pause, and for how long."""
        for host, until_by_name in self._until_by_name_by_host.items():
            until = until_by_name.get(upstream, now)
            if now < until:
                yield host, until - now
