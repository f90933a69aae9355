"""Estimates of the duration of calls to plain services, by request size."""

PRIOR_CALL_SECONDS = 0.1
MEAN_GAIN = 0.1


class CallDurations:
    """Learns the mean duration of calls for each octave of prompt tokens.

    The size of the body is all that is known of a call in advance. The mean is a
    moving average of the logarithm over all upstreams of the pool.
    """

    def __init__(self) -> None:
        self._seconds_by_octave: dict[int, float] = {}
        self._samples_by_octave: dict[int, int] = {}

    def is_measured(self, prompt_tokens: int) -> bool:
        """Return whether any call of this octave has ended yet."""
        return prompt_tokens.bit_length() in self._seconds_by_octave

    def seconds(self, prompt_tokens: int) -> float:
        """Return the mean seconds, estimated from adjacent octaves if not measured."""
        octave = prompt_tokens.bit_length()
        known = self._seconds_by_octave
        if octave in known:
            return known[octave]
        near = [known[other] for other in (octave - 1, octave + 1) if other in known]
        return min(near, default=PRIOR_CALL_SECONDS)

    def learn(self, prompt_tokens: int, seconds: float) -> None:
        """Learn from the duration of one call."""
        if seconds <= 0:
            return
        octave = prompt_tokens.bit_length()
        known = self._seconds_by_octave.get(octave, seconds)
        samples = self._samples_by_octave.get(octave, 0) + 1
        gain = max(1 / samples, MEAN_GAIN)
        self._samples_by_octave[octave] = samples
        self._seconds_by_octave[octave] = known * (seconds / known) ** gain
