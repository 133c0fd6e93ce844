"""Counters and latency histograms of one gateway, in the usual text form.

The library that writes the text is loaded at the first scrape, so that starts are short.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from prometheus_client.core import Metric

    Labels = tuple[str, ...]

_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
_RATIOS = (0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 8.0)
_LEAST_PREDICTED = 0.001
"""Seconds; a step of an engine takes longer."""


class _Counts:
    """Events counted by their labels."""

    def __init__(self, name: str, text: str, labels: Labels) -> None:
        self.name = name
        self.text = text
        self.labels = labels
        self.values: Counter[Labels] = Counter()


class _Buckets:
    """How many observations fell between bounds, and their sum."""

    def __init__(self, bounds: int) -> None:
        self.counts = [0] * (bounds + 1)
        self.sum = 0.0


class _Histogram:
    """Observations by their labels."""

    def __init__(self, name: str, text: str, labels: Labels, bounds: tuple[float, ...]) -> None:
        self.name = name
        self.text = text
        self.labels = labels
        self.bounds = bounds
        self.values: dict[Labels, _Buckets] = {}

    def observe(self, labels: Labels, value: float) -> None:
        """Note one observation."""
        buckets = self.values.get(labels)
        if buckets is None:
            buckets = self.values[labels] = _Buckets(len(self.bounds))
        buckets.counts[bisect_left(self.bounds, value)] += 1
        buckets.sum += value


@dataclass(frozen=True)
class _Gauge:
    """A figure that is read when asked for."""

    name: str
    text: str
    read: Callable[[], float]


class Metrics:
    """The figures; labels are services and outcomes, which are few."""

    def __init__(self) -> None:
        self._requests = _Counts(
            "lotushill_requests", "Requests by their end", ("service", "outcome")
        )
        self._attempts = _Counts(
            "lotushill_attempts",
            "Attempts at upstreams by tier and by their end",
            ("service", "tier", "end"),
        )
        self._refused = _Counts(
            "lotushill_refused",
            "Requests for which no upstream was chosen, by tier and reason",
            ("service", "tier", "reason"),
        )
        self._moves = _Counts(
            "lotushill_moves",
            "Handovers of runs to other upstreams, by why and by how they ended",
            ("cause", "end"),
        )
        self._moved_runs = _Counts(
            "lotushill_moved_runs", "Runs that had to go on from moved memory", ("end",)
        )
        self._turned_away = _Counts(
            "lotushill_turned_away", "Requests answered without a service", ("status",)
        )
        self._seconds = _Histogram(
            "lotushill_request_seconds", "From arrival to the end", ("service",), _SECONDS
        )
        self._first_seconds = _Histogram(
            "lotushill_first_seconds",
            "From sending to the first event or the whole answer",
            ("service",),
            _SECONDS,
        )
        self._prediction = _Histogram(
            "lotushill_prediction_ratio",
            "Measured over predicted time to the first event",
            ("service",),
            _RATIOS,
        )
        self._gauges: list[_Gauge] = []

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Serve a figure that is read when asked for."""
        self._gauges.append(_Gauge(f"lotushill_{name}", text, read))

    def record_request(self, service: str, outcome: str, seconds: float) -> None:
        """Note the end of a request."""
        self._requests.values[service, outcome.partition(":")[0]] += 1
        self._seconds.observe((service,), seconds)

    def record_rejection(self, status: int) -> None:
        """Note a request that was answered without a service."""
        self._turned_away.values[(str(status),)] += 1

    def record_attempt(self, service: str, tier: int, end: str) -> None:
        """Note the end of an attempt."""
        self._attempts.values[service, str(tier), end] += 1

    def record_handover(self, cause: str, end: str) -> None:
        """Note the end of a handover."""
        self._moves.values[cause, end] += 1

    def record_moved_run(self, end: str) -> None:
        """Note that a run went on from moved memory, or was cut."""
        self._moved_runs.values[(end,)] += 1

    def record_refusal(self, service: str, tier: int, reason: str) -> None:
        """Note a request for which no upstream was chosen."""
        self._refused.values[service, str(tier), reason] += 1

    def record_first_event(self, service: str, seconds: float, predicted: float) -> None:
        """Note the time to the first event, beside what was predicted."""
        self._first_seconds.observe((service,), seconds)
        self._prediction.observe((service,), seconds / max(_LEAST_PREDICTED, predicted))

    def text(self) -> bytes:
        """Return all figures."""
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all figures, as the library asks for them."""
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily
        from prometheus_client.core import HistogramMetricFamily

        for counts in (
            self._requests,
            self._attempts,
            self._refused,
            self._moves,
            self._moved_runs,
            self._turned_away,
        ):
            counter = CounterMetricFamily(counts.name, counts.text, labels=counts.labels)
            for labels, count in counts.values.items():
                counter.add_metric(labels, count)
            yield counter
        for histogram in (self._seconds, self._first_seconds, self._prediction):
            family = HistogramMetricFamily(histogram.name, histogram.text, labels=histogram.labels)
            for labels, buckets in histogram.values.items():
                family.add_metric(labels, _cumulative(histogram.bounds, buckets), buckets.sum)
            yield family
        for gauge in self._gauges:
            yield GaugeMetricFamily(gauge.name, gauge.text, value=gauge.read())


def _cumulative(bounds: tuple[float, ...], buckets: _Buckets) -> list[tuple[str, float]]:
    """Return how many observations were at most each bound."""
    total = 0
    found: list[tuple[str, float]] = []
    for bound, count in zip([*map(str, bounds), "+Inf"], buckets.counts):
        total += count
        found.append((bound, total))
    return found
