"""What is left of a workspace's quota, and whether a request may use it."""

PLENTY_PART = 0.75
"""Part of a quota that must be left for a request larger than half of it."""

LARGEST_PART = 0.25
"""Most of a quota that is kept for a workspace's largest request. A single one that is
larger still would else keep all others of a small quota from being served."""

REPEAT_PART = 0.05
"""Part of a quota by which repeats may exceed it. A deployment has hosts keep within a
tenth less than what it allows; half of that is left for counts that are late."""


BESIDE = 2
"""How many requests like a large one must fit: each host decides for itself by what is
left, and another one may let such a request through before either is told."""


class Level:
    """What is left of one workspace's quota: for this host, and over all hosts.

    total is what is left of the window, paced what of it may be used now. part is this
    host's part of that as it was heard; large tells that a request larger than it was
    let through since.
    """

    __slots__ = ("amount", "at", "large", "paced", "part", "total")

    def __init__(
        self, total: float, hosts: int, at: float, paced: float | None = None
    ) -> None:
        self.total = total
        self.paced = total if paced is None else paced
        self.part = self.paced / hosts if self.paced > 0 else self.paced
        self.amount = self.part
        self.large = False
        self.at = at

    def take(self, amount: float) -> None:
        """Take an amount, or give it back when it is below 0."""
        self.amount -= amount
        self.paced -= amount
        self.total -= amount

    def has_room(self, amount: float, largest: float, most: float) -> bool:
        """Tell whether this host's own part has an amount, or all hosts' has plenty.

        most is all that the quota allows in a window, largest the largest request of
        its kind of late. For a smaller one as much must be left over all hosts as that
        would need. Were whatever fits let through, small requests would take each
        little that comes back, and the largest of a workspace that asks for more than
        its quota would hardly ever be served: 0.31 of them beside 0.78 of the small at
        six times a quota, in a model of nine hosts; with what is left for them, three
        quarters of the part of the small or more.

        A request larger than an own part would never be let through, so plenty must be
        left for it; one larger than half of the quota needs most of it unused.
        """
        if amount < largest and self.paced < _reserve(largest, most):
            return False
        if amount <= self.amount:
            return True
        if amount <= self.part or self.large:
            return False
        self.large = self.paced >= _plenty(amount, most)
        return self.large

    def needed(self, amount: float, largest: float, most: float) -> float:
        """Return what must be left over all hosts for an amount to be let through."""
        own = amount if amount <= self.part else _plenty(amount, most)
        return max(own, _reserve(largest, most)) if amount < largest else own

    def has_room_for_repeat(self, amount: float, most: float) -> bool:
        """Tell whether one more run of a request fits, a bound beyond the quota."""
        return self.total - amount >= -REPEAT_PART * most


def _plenty(amount: float, most: float) -> float:
    """Return what must be left for a request that is larger than a host's own part."""
    return min(BESIDE * amount, max(amount, PLENTY_PART * most), most)


def _reserve(largest: float, most: float) -> float:
    """Return what must be left for a request that is smaller than the largest."""
    return min(BESIDE * largest, LARGEST_PART * most)
