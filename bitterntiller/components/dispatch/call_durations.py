"""Estimates of the duration of calls to plain services, by request size."""

import math

PRIOR_CALL_SECONDS = 0.1
MEAN_GAIN = 0.1

USUAL_STEP = 0.01
MAX_USUAL_STEP = 0.5
"""Steps of the logarithm of the usual duration, from the first calls to the later ones.
A burst of 100 slow calls moves it by less than a factor of 3."""


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


class UsualDurations:
    """Tracks the median duration of calls for each octave of prompt tokens.

    The mean of CallDurations follows the speed of the pool within seconds. Relative to
    it, the calls of an upstream that slows down don't take longer, and the same speed
    seems to have changed once others slow down.
    """

    def __init__(self) -> None:
        self._log_by_octave: dict[int, float] = {}
        self._samples_by_octave: dict[int, int] = {}

    def seconds(self, prompt_tokens: int) -> float | None:
        """Return the median seconds, None if no such call has ended yet."""
        known = self._log_by_octave.get(prompt_tokens.bit_length())
        return None if known is None else math.exp(known)

    def learn(self, prompt_tokens: int, seconds: float) -> None:
        """Learn from the duration of one call."""
        octave = prompt_tokens.bit_length()
        value = math.log(seconds)
        known = self._log_by_octave.setdefault(octave, value)
        samples = self._samples_by_octave.get(octave, 0) + 1
        step = max(MAX_USUAL_STEP / samples, USUAL_STEP)
        self._samples_by_octave[octave] = samples
        self._log_by_octave[octave] = known + min(max(value - known, -step), step)
