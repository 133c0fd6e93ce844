"""Learned output lengths: a histogram per class that forgets old answers."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

_LONGEST = 1_000_000
_DIGITS = 2
_HALF_LIFE = 256
"""Answers after which the older histogram is dropped for the newer one."""
_FEWEST = 8
"""Answers needed before the histogram is believed."""


class LengthEstimate:
    """Output lengths of one class, kept as a pair of histograms that take turns."""

    def __init__(self) -> None:
        self._old = _histogram()
        self._new = _histogram()
        self._mean = 0.0
        self._known: dict[float, int] = {}
        """Quantiles already worked out since the last answer."""

    def add(self, tokens: int) -> None:
        """Learn the length of one whole answer."""
        if self._new.get_total_count() >= _HALF_LIFE:
            self._old, self._new = self._new, _histogram()
        self._known.clear()
        self._new.record_value(max(1, min(tokens, _LONGEST)))
        weight = 1.0 / min(_HALF_LIFE, self.count())
        self._mean += weight * (tokens - self._mean)

    def count(self) -> int:
        """Return how many answers are remembered."""
        return int(self._old.get_total_count() + self._new.get_total_count())

    def known(self) -> bool:
        """Return whether enough answers were seen to say anything of the next."""
        return self.count() >= _FEWEST

    def mean(self, limit: int) -> float:
        """Return the expected length; `limit` stands in until enough is known."""
        if not self.known():
            return limit / 4
        return min(self._mean, float(limit))

    def quantile(self, share: float, limit: int) -> int:
        """Return the length that `share` of answers stay below, at most `limit`."""
        if not self.known():
            return limit
        found = self._known.get(share)
        if found is None:
            enough = self._new.get_total_count() >= _FEWEST
            source = self._new if enough else self._old
            found = self._known[share] = int(source.get_value_at_percentile(share * 100))
        return min(limit, found)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _LONGEST, _DIGITS)
