"""Counters, gauges and latency histograms of one gateway, in the Prometheus text format.

The Prometheus library is imported at the first scrape, which keeps the start of a gateway short.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from prometheus_client.core import Metric

    Labels = tuple[str, ...]

_DURATION_BUCKETS_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
_RATIO_BUCKETS = (0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 8.0)
_MIN_PREDICTED_SECONDS = 0.001
"""Lower bound of predicted times in the prediction ratio, in seconds.

A step of an engine takes longer.
"""


class _Counter:
    """A counter with one value for each combination of labels."""

    def __init__(self, name: str, text: str, labels: Labels) -> None:
        self.name = name
        self.text = text
        self.labels = labels
        self.values: Counter[Labels] = Counter()


class _Buckets:
    """Number of observations in each bucket of a histogram, and the sum of all observations."""

    def __init__(self, bounds: int) -> None:
        self.counts = [0] * (bounds + 1)
        self.sum = 0.0


class _Histogram:
    """A histogram with one set of buckets for each combination of labels."""

    def __init__(self, name: str, text: str, labels: Labels, bounds: tuple[float, ...]) -> None:
        self.name = name
        self.text = text
        self.labels = labels
        self.bounds = bounds
        self.values: dict[Labels, _Buckets] = {}

    def observe(self, labels: Labels, value: float) -> None:
        """Record one observation."""
        buckets = self.values.get(labels)
        if buckets is None:
            buckets = self.values[labels] = _Buckets(len(self.bounds))
        buckets.counts[bisect_left(self.bounds, value)] += 1
        buckets.sum += value


@dataclass(frozen=True)
class _Gauge:
    """A gauge whose value is read at each scrape."""

    name: str
    text: str
    read: Callable[[], float]


@dataclass(frozen=True)
class _GaugeBy:
    """A gauge with a value for each value of a label, which are read at each scrape."""

    name: str
    text: str
    label: str
    read: Callable[[], Mapping[str, float]]


class Metrics:
    """All metrics of one gateway.

    Labels are services, tiers and outcomes, so that there are few combinations of them.
    """

    def __init__(self) -> None:
        self._requests = _Counter(
            "lotushill_requests", "Requests by outcome", ("service", "outcome")
        )
        self._attempts = _Counter(
            "lotushill_attempts",
            "Attempts at upstreams by tier and by how they ended",
            ("service", "tier", "end"),
        )
        self._refusals = _Counter(
            "lotushill_refused",
            "Requests for which no upstream was chosen, by tier and reason",
            ("service", "tier", "reason"),
        )
        self._handovers = _Counter(
            "lotushill_moves",
            "Handovers of runs to other upstreams, by cause and by how they ended",
            ("cause", "end"),
        )
        self._moved_runs = _Counter(
            "lotushill_moved_runs", "Runs that had to be resumed from moved KV memory", ("end",)
        )
        self._truncated = _Counter(
            "lotushill_truncated_answers",
            "Answers that clients received only in part, by cause",
            ("service", "cause"),
        )
        self._rejections = _Counter(
            "lotushill_turned_away",
            "Requests rejected before a service was determined",
            ("status",),
        )
        self._request_seconds = _Histogram(
            "lotushill_request_seconds",
            "Seconds from the arrival of a request to its end",
            ("service",),
            _DURATION_BUCKETS_SECONDS,
        )
        self._first_seconds = _Histogram(
            "lotushill_first_seconds",
            "Seconds from sending a request to the first event or the complete answer",
            ("service",),
            _DURATION_BUCKETS_SECONDS,
        )
        self._prediction_ratios = _Histogram(
            "lotushill_prediction_ratio",
            "Measured time to the first event divided by the predicted time",
            ("service",),
            _RATIO_BUCKETS,
        )
        self._gauges: list[_Gauge] = []
        self._gauges_by: list[_GaugeBy] = []

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value `read` returns at each scrape."""
        self._gauges.append(_Gauge(f"lotushill_{name}", text, read))

    def add_gauge_by(
        self, name: str, text: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Add a gauge whose values `read` returns at each scrape, by the value of `label`."""
        self._gauges_by.append(_GaugeBy(f"lotushill_{name}", text, label, read))

    def record_request(self, service: str, outcome: str, seconds: float) -> None:
        """Record the outcome and the duration of a request."""
        self._requests.values[service, outcome.partition(":")[0]] += 1
        self._request_seconds.observe((service,), seconds)

    def record_truncated(self, service: str, cause: str) -> None:
        """Record an answer that a client received only in part."""
        self._truncated.values[service, cause] += 1

    def record_rejection(self, status: int) -> None:
        """Record a request that was rejected before its service was determined."""
        self._rejections.values[(str(status),)] += 1

    def record_attempt(self, service: str, tier: int, end: str) -> None:
        """Record how an attempt at an upstream ended."""
        self._attempts.values[service, str(tier), end] += 1

    def record_handover(self, cause: str, end: str) -> None:
        """Record how a handover of a run ended."""
        self._handovers.values[cause, end] += 1

    def record_moved_run(self, end: str) -> None:
        """Record whether a run was resumed from moved KV memory or was interrupted."""
        self._moved_runs.values[(end,)] += 1

    def record_refusal(self, service: str, tier: int, reason: str) -> None:
        """Record a request for which no upstream was chosen."""
        self._refusals.values[service, str(tier), reason] += 1

    def record_first_event(self, service: str, seconds: float, predicted: float) -> None:
        """Record the measured time to the first event, and its ratio to the predicted time."""
        self._first_seconds.observe((service,), seconds)
        self._prediction_ratios.observe(
            (service,), seconds / max(_MIN_PREDICTED_SECONDS, predicted)
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics; called by the Prometheus registry."""
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily
        from prometheus_client.core import HistogramMetricFamily

        for counts in (
            self._requests,
            self._attempts,
            self._refusals,
            self._handovers,
            self._moved_runs,
            self._truncated,
            self._rejections,
        ):
            counter = CounterMetricFamily(counts.name, counts.text, labels=counts.labels)
            for labels, count in counts.values.items():
                counter.add_metric(labels, count)
            yield counter
        for histogram in (self._request_seconds, self._first_seconds, self._prediction_ratios):
            family = HistogramMetricFamily(histogram.name, histogram.text, labels=histogram.labels)
            for labels, buckets in histogram.values.items():
                family.add_metric(labels, _cumulative(histogram.bounds, buckets), buckets.sum)
            yield family
        for gauge in self._gauges:
            yield GaugeMetricFamily(gauge.name, gauge.text, value=gauge.read())
        for gauge_by in self._gauges_by:
            labelled = GaugeMetricFamily(gauge_by.name, gauge_by.text, labels=(gauge_by.label,))
            for label, value in gauge_by.read().items():
                labelled.add_metric((label,), value)
            yield labelled


def _cumulative(bounds: tuple[float, ...], buckets: _Buckets) -> list[tuple[str, float]]:
    """Return, for each bound, the number of observations that are not above it."""
    total = 0
    cumulative: list[tuple[str, float]] = []
    for bound, count in zip([*map(str, bounds), "+Inf"], buckets.counts):
        total += count
        cumulative.append((bound, total))
    return cumulative
