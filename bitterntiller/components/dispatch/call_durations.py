"""How long calls of plain services take, by their size."""

PRIOR_CALL_SECONDS = 0.1
MEAN_GAIN = 0.1


class CallDurations:
    """Learns the mean seconds of a call for each octave of prompt tokens.

    The size of its body is all that is told of a call beforehand. The mean is
    that of the logarithm, over all upstreams of the pool.
    """

    def __init__(self) -> None:
        self._seconds_by_octave: dict[int, float] = {}
        self._samples_by_octave: dict[int, int] = {}

    def is_measured(self, prompt_tokens: int) -> bool:
        """Tell whether a call of this octave has ended yet."""
        return prompt_tokens.bit_length() in self._seconds_by_octave

    def seconds(self, prompt_tokens: int) -> float:
        """Return the mean seconds; a guess by the next octaves if not measured."""
        octave = prompt_tokens.bit_length()
        known = self._seconds_by_octave
        if octave in known:
            return known[octave]
        near = [known[other] for other in (octave - 1, octave + 1) if other in known]
        return min(near, default=PRIOR_CALL_SECONDS)

    def learn(self, prompt_tokens: int, seconds: float) -> None:
        """Learn from the seconds of one call."""
        if seconds <= 0:
            return
        octave = prompt_tokens.bit_length()
        known = self._seconds_by_octave.get(octave, seconds)
        samples = self._samples_by_octave.get(octave, 0) + 1
        gain = max(1 / samples, MEAN_GAIN)
        self._samples_by_octave[octave] = samples
        self._seconds_by_octave[octave] = known * (seconds / known) ** gain
