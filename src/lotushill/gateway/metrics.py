"""Counters and latency histograms of one gateway, in the usual text form."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable

_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
_RATIOS = (0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0, 8.0)


class Metrics:
    """The figures; labels are services and outcomes, which are few."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "lotushill_requests",
            "Requests by their end",
            ("service", "outcome"),
            registry=self._registry,
        )
        self._attempts = Counter(
            "lotushill_attempts",
            "Attempts at upstreams by tier and by their end",
            ("service", "tier", "end"),
            registry=self._registry,
        )
        self._refused = Counter(
            "lotushill_refused",
            "Requests for which no upstream was chosen, by tier and reason",
            ("service", "tier", "reason"),
            registry=self._registry,
        )
        self._turned_away = Counter(
            "lotushill_turned_away",
            "Requests answered without a service",
            ("status",),
            registry=self._registry,
        )
        self._seconds = Histogram(
            "lotushill_request_seconds",
            "From arrival to the end",
            ("service",),
            buckets=_SECONDS,
            registry=self._registry,
        )
        self._first_seconds = Histogram(
            "lotushill_first_seconds",
            "From sending to the first event or the whole answer",
            ("service",),
            buckets=_SECONDS,
            registry=self._registry,
        )
        self._prediction = Histogram(
            "lotushill_prediction_ratio",
            "Measured over predicted time to the first event",
            ("service",),
            buckets=_RATIOS,
            registry=self._registry,
        )

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Serve a figure that is read when asked for."""
        Gauge(f"lotushill_{name}", text, registry=self._registry).set_function(read)

    def note_request(self, service: str, outcome: str, seconds: float) -> None:
        """Note the end of a request."""
        self._requests.labels(service, outcome.partition(":")[0]).inc()
        self._seconds.labels(service).observe(seconds)

    def note_turned_away(self, status: int) -> None:
        """Note a request that was answered without a service."""
        self._turned_away.labels(str(status)).inc()

    def note_attempt(self, service: str, tier: int, end: str) -> None:
        """Note the end of an attempt."""
        self._attempts.labels(service, str(tier), end).inc()

    def note_refused(self, service: str, tier: int, reason: str) -> None:
        """Note a request for which no upstream was chosen."""
        self._refused.labels(service, str(tier), reason).inc()

    def note_first(self, service: str, seconds: float, predicted: float) -> None:
        """Note the time to the first event, beside what was predicted."""
        self._first_seconds.labels(service).observe(seconds)
        self._prediction.labels(service).observe(seconds / max(0.001, predicted))

    def text(self) -> bytes:
        """Return all figures."""
        return generate_latest(self._registry)
