"""Counters and latency percentiles in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from jacinthloom_core import Member

MAX_DURATION_US = 600_000_000
"""Longest duration that a histogram can hold, in microseconds."""

SIGNIFICANT_DIGITS = 2

QUANTILES = (0.5, 0.9, 0.99, 0.999)


class LatencyHistogram:
    """A histogram of durations."""

    def __init__(self, name: str, help_text: str) -> None:
        self.name = name
        self.help_text = help_text
        self._histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record a duration in seconds."""
        microseconds = min(MAX_DURATION_US, max(1, int(seconds * 1_000_000)))
        self._histogram.record_value(microseconds)

    @property
    def count(self) -> int:
        """Number of durations."""
        return int(self._histogram.get_total_count())

    @property
    def total_s(self) -> float:
        """Sum of the durations, in seconds."""
        mean_us = self._histogram.get_mean_value() if self.count else 0.0
        return float(mean_us * self.count / 1e6)

    def find_quantile_s(self, quantile: float) -> float:
        """Return a quantile of the durations, in seconds; 0 if there are none."""
        if not self.count:
            return 0.0
        return float(self._histogram.get_value_at_percentile(quantile * 100) / 1e6)

    def collect(self) -> Iterator[Any]:
        """Yield a summary and the percentiles, in seconds."""
        family = SummaryMetricFamily(self.name, self.help_text)
        family.add_metric([], count_value=self.count, sum_value=self.total_s)
        yield family
        gauge = GaugeMetricFamily(
            f"{self.name}_quantile", self.help_text, labels=["quantile"]
        )
        for quantile in QUANTILES:
            gauge.add_metric([str(quantile)], self.find_quantile_s(quantile))
        yield gauge


class LatencyHistograms:
    """Histograms of durations by the value of a label.

    :param label: name of the label
    """

    def __init__(self, name: str, help_text: str, label: str) -> None:
        self._name = name
        self._help_text = help_text
        self._label = label
        self._histogram_by_value: dict[str, LatencyHistogram] = {}

    def record(self, value: str, seconds: float) -> None:
        """Record a duration in seconds under a value of the label."""
        histogram = self._histogram_by_value.get(value)
        if histogram is None:
            histogram = LatencyHistogram(self._name, self._help_text)
            self._histogram_by_value[value] = histogram
        histogram.record(seconds)

    def collect(self) -> Iterator[Any]:
        """Yield a summary and the longest duration for each value, in seconds."""
        label = [self._label]
        family = SummaryMetricFamily(self._name, self._help_text, labels=label)
        longest = GaugeMetricFamily(
            f"{self._name}_max", self._help_text, labels=[self._label]
        )
        for value, histogram in sorted(self._histogram_by_value.items()):
            family.add_metric([value], histogram.count, histogram.total_s)
            longest.add_metric([value], histogram.find_quantile_s(1.0))
        yield family
        yield longest


class Metrics:
    """Prometheus collector of the core's counters and the shell's latencies."""

    def __init__(self, get_member: Callable[[], Member]) -> None:
        self._get_member = get_member
        self.request_latency = LatencyHistogram(
            "jacinthloom_request_seconds", "Time from a request to its answer."
        )
        self.event_latency = LatencyHistogram(
            "jacinthloom_event_seconds", "Time to reduce one event and act on it."
        )
        self.loop_lag = LatencyHistogram(
            "jacinthloom_loop_lag_seconds", "Delay of the regular tick."
        )
        self.get_peer_sent_bytes: Callable[[], int] = lambda: 0
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def collect(self) -> Iterator[Any]:
        """Yield every metric."""
        member = self._get_member()
        counters = CounterMetricFamily(
            "jacinthloom_events", "What happened, by kind.", labels=["kind"]
        )
        for kind, count in sorted(member.context.counters.items()):
            counters.add_metric([kind], count)
        yield counters
        authority = GaugeMetricFamily(
            "jacinthloom_has_authority", "Whether this member may start work."
        )
        authority.add_metric([], float(member.membership.has_authority))
        yield authority
        fresh = GaugeMetricFamily(
            "jacinthloom_is_fresh", "Whether the configuration is known to be current."
        )
        fresh.add_metric([], float(member.membership.is_fresh()))
        yield fresh
        sent = CounterMetricFamily(
            "jacinthloom_peer_sent_bytes", "Bytes sent to other members."
        )
        sent.add_metric([], self.get_peer_sent_bytes())
        yield sent
        for latency in (self.request_latency, self.event_latency, self.loop_lag):
            yield from latency.collect()

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
        return bytes(generate_latest(self._registry))
