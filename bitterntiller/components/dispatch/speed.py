"""Learned speed of an upstream: prefill by kind of work, decoding by concurrency."""

import math
from typing import NamedTuple, Protocol

from bitterntiller.components.dispatch.const import (
    KIND_PLAIN,
    PRIOR_PREFILL_TOKENS_PER_SECOND,
    PRIOR_SECONDS_PER_TOKEN,
)

SHORT = 0
LONG = 1
OVERHEAD_SECONDS = 0.01
CONCURRENCY_BUCKETS = 12
PLAIN_SCALE_GAIN = 0.1
POOL_PREFILL_GAIN = 0.002
POOL_DECODE_GAIN = 0.0005
MAX_SAMPLE_RATIO = 8.0
MIN_DEVIATION = 0.05
SCALE_TIME_CONSTANT = 4.0
BUCKET_TIME_CONSTANT = 30.0
MIN_SCALE = 0.05
MAX_SCALE = 50.0
BEST_DECREASE_TIME_CONSTANT = 1.0
BEST_INCREASE_TIME_CONSTANT = 30.0


class Estimate(NamedTuple):
    """Expected seconds until the first token and until the end.

    deviation is the mean absolute error of the logarithm of the total.
    """

    first: float
    total: float
    deviation: float


class Speed(Protocol):
    """Estimates the service times of an upstream, and learns from measurements."""

    deviation: float

    def prefill_seconds(self, tokens: int, kind: int) -> float:
        """Return the seconds to prefill tokens that are not in the cache."""
        ...

    def decode_seconds(self, tokens: float, in_flight: int) -> float:
        """Return the seconds to decode tokens with in_flight requests."""
        ...

    def seconds_per_token(self, in_flight: int) -> float:
        """Return the seconds per token with in_flight requests."""
        ...

    def best_seconds_per_token(self) -> float:
        """Return the seconds per token of an otherwise idle upstream."""
        ...

    def best_decode_seconds(self, tokens: float) -> float:
        """Return the seconds to decode tokens on an otherwise idle upstream."""
        ...

    def learn_prefill(self, kind: int, expected: float, measured: float) -> None:
        """Learn from the expected and measured seconds until the first token."""
        ...

    def learn_decode(self, tokens: float, seconds: float, in_flight: int) -> None:
        """Learn from the seconds in which tokens were decoded."""
        ...

    def learn_total(self, expected: float, measured: float) -> None:
        """Learn the error of the estimated total seconds."""
        ...


def _clip_ratio(ratio: float) -> float:
    return min(max(ratio, 1 / MAX_SAMPLE_RATIO), MAX_SAMPLE_RATIO)


def _concurrency_bucket(in_flight: int) -> int:
    return min(max(in_flight, 1).bit_length() - 1, CONCURRENCY_BUCKETS - 1)


class _DeviationTracker:
    def __init__(self) -> None:
        self.deviation = 0.3

    def learn_total(self, expected: float, measured: float) -> None:
        """Learn the error of the estimated total seconds."""
        if expected <= 0 or measured <= 0:
            return
        error = abs(math.log(_clip_ratio(measured / expected)))
        self.deviation += 0.05 * (error - self.deviation)
        self.deviation = max(self.deviation, MIN_DEVIATION)


class PoolSpeed:
    """Mean speed of a pool, the initial estimate for an unmeasured upstream.

    It also defines the unit of work, so it changes slowly: if it followed a burst, work
    from before and from within the burst would not be comparable, and the wait of the
    latter would be overestimated.
    """

    def __init__(self) -> None:
        self.prefill_rate = PRIOR_PREFILL_TOKENS_PER_SECOND
        self.seconds_per_token = PRIOR_SECONDS_PER_TOKEN
        self._prefill_samples = 0
        self._decode_samples = 0

    def record_prefill_rate(self, rate: float) -> None:
        """Record the prefill rate of one upstream, in tokens per second."""
        self._prefill_samples += 1
        gain = max(1 / self._prefill_samples, POOL_PREFILL_GAIN)
        self.prefill_rate += gain * (rate - self.prefill_rate)

    def record_decode_time(self, seconds: float) -> None:
        """Record the seconds per token of one upstream."""
        self._decode_samples += 1
        gain = max(1 / self._decode_samples, POOL_DECODE_GAIN)
        self.seconds_per_token += gain * (seconds - self.seconds_per_token)

    def work(self, prompt_tokens: int, output_tokens: float) -> float:
        """Return the expected seconds of service of a request."""
        prefill = prompt_tokens / self.prefill_rate
        return OVERHEAD_SECONDS + prefill + output_tokens * self.seconds_per_token


class EngineSpeed(_DeviationTracker):
    """Prefill rate by kind of work, and decode time by requests in flight.

    scale follows a change of the whole engine's speed within a few samples, while the
    buckets change slowly. One bucket's samples thus suffice to detect a slower engine
    for all buckets. All requests of a batch measure the same steps, so the weight of a
    sample is its time span divided by the size of the batch.
    """

    def __init__(self, pool: PoolSpeed) -> None:
        super().__init__()
        self._pool = pool
        self._prefill_rate_by_kind: list[float | None] = [None, None]
        self._prefill_samples_by_kind = [0, 0]
        self._seconds_by_bucket: list[float | None] = [None] * CONCURRENCY_BUCKETS
        self._best: float | None = None
        self.scale = 1.0

    def prefill_rate(self, kind: int) -> float:
        """Return the prefill rate in tokens per second."""
        rate = self._prefill_rate_by_kind[kind]
        if rate is None:
            rate = self._prefill_rate_by_kind[1 - kind]
        return self._pool.prefill_rate if rate is None else rate

    def prefill_seconds(self, tokens: int, kind: int) -> float:
        """Return the seconds to prefill tokens that are not in the cache."""
        return OVERHEAD_SECONDS + tokens / self.prefill_rate(kind)

    def seconds_per_token(self, in_flight: int) -> float:
        """Return the seconds per token with in_flight requests."""
        return self._nearest_bucket_seconds(_concurrency_bucket(in_flight)) * self.scale

    def best_seconds_per_token(self) -> float:
        """Return the seconds per token of an otherwise idle upstream."""
        return self._pool.seconds_per_token if self._best is None else self._best

    def decode_seconds(self, tokens: float, in_flight: int) -> float:
        """Return the seconds to decode tokens with in_flight requests."""
        return tokens * self.seconds_per_token(in_flight)

    def best_decode_seconds(self, tokens: float) -> float:
        """Return the seconds to decode tokens on an otherwise idle upstream."""
        return tokens * self.best_seconds_per_token()

    def learn_prefill(self, kind: int, expected: float, measured: float) -> None:
        """Learn from the seconds until the first token.

        The rate is corrected by the ratio of measured and expected time, so that time
        spent behind other prefills calibrates it as well. Times close to the overhead
        do not measure the rate.
        """
        if max(expected, measured) < 4 * OVERHEAD_SECONDS:
            return
        ratio = _clip_ratio(max(measured, 0.001) / max(expected, 0.001))
        self._prefill_samples_by_kind[kind] += 1
        gain = max(0.8 / self._prefill_samples_by_kind[kind], 0.2)
        rate = self.prefill_rate(kind) * ratio**-gain
        self._prefill_rate_by_kind[kind] = rate
        self._pool.record_prefill_rate(rate)

    def learn_decode(self, tokens: float, seconds: float, in_flight: int) -> None:
        """Learn from the seconds in which tokens were decoded."""
        if tokens < 1 or seconds <= 0:
            return
        measured = seconds / tokens
        bucket = _concurrency_bucket(in_flight)
        known = self._seconds_by_bucket[bucket]
        self._pool.record_decode_time(measured)
        span = seconds / max(in_flight, 1)
        self._learn_best(measured, span)
        if known is None:
            self._seconds_by_bucket[bucket] = measured / self.scale
            return
        ratio = _clip_ratio(measured / (known * self.scale))
        fast = -math.expm1(-span / SCALE_TIME_CONSTANT)
        slow = -math.expm1(-span / BUCKET_TIME_CONSTANT)
        self._seconds_by_bucket[bucket] = known * ratio**slow
        scale = self.scale * ratio ** (fast - slow)
        self.scale = min(max(scale, MIN_SCALE), MAX_SCALE)

    def _learn_best(self, measured: float, span: float) -> None:
        """Track the lower bound of the samples: decrease quickly, increase slowly."""
        if self._best is None:
            # The first samples may be from a burst. If the initial value were too
            # high, requests that an idle upstream serves in time would be refused as
            # too late. A low value is corrected within seconds.
            self._best = min(measured, self._pool.seconds_per_token)
            return
        tau = (
            BEST_DECREASE_TIME_CONSTANT
            if measured < self._best
            else BEST_INCREASE_TIME_CONSTANT
        )
        self._best -= math.expm1(-span / tau) * (measured - self._best)

    def _nearest_bucket_seconds(self, bucket: int) -> float:
        for distance in range(CONCURRENCY_BUCKETS):
            below = bucket - distance
            if below >= 0 and self._seconds_by_bucket[below] is not None:
                return self._seconds_by_bucket[below]
            above = bucket + distance
            if (
                above < CONCURRENCY_BUCKETS
                and self._seconds_by_bucket[above] is not None
            ):
                return self._seconds_by_bucket[above]
        return self._pool.seconds_per_token


class PlainSpeed(_DeviationTracker):
    """Seconds per expected second of a call at one plain service.

    The tokens of Speed are seconds here: the mean duration of calls of that size over
    all services of the pool.
    """

    def __init__(self) -> None:
        super().__init__()
        self._has_sample = False
        self.scale = 1.0

    def prefill_seconds(self, tokens: int, kind: int) -> float:
        """Return 0, since a plain service has no prefill."""
        return 0.0

    def seconds_per_token(self, in_flight: int) -> float:
        """Return the seconds per expected second."""
        return self.scale

    def best_seconds_per_token(self) -> float:
        """Return the seconds per expected second."""
        return self.seconds_per_token(1)

    def decode_seconds(self, tokens: float, in_flight: int) -> float:
        """Return the seconds of one call."""
        return tokens * self.seconds_per_token(in_flight)

    def best_decode_seconds(self, tokens: float) -> float:
        """Return the seconds of one call."""
        return self.decode_seconds(tokens, 1)

    def learn_prefill(self, kind: int, expected: float, measured: float) -> None:
        """Ignore the sample, since a plain service has no prefill."""

    def learn_decode(self, tokens: float, seconds: float, in_flight: int) -> None:
        """Learn from the seconds of one call."""
        if seconds <= 0 or tokens <= 0:
            return
        measured = seconds / tokens
        gain = PLAIN_SCALE_GAIN if self._has_sample else 1.0
        self._has_sample = True
        self.scale *= _clip_ratio(measured / self.scale) ** gain


def new_speed(kind: str, pool: PoolSpeed) -> EngineSpeed | PlainSpeed:
    """Return the speed model for a kind of pool."""
    return PlainSpeed() if kind == KIND_PLAIN else EngineSpeed(pool)
