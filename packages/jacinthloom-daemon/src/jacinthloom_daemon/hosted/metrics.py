"""Counters and latencies of one process, in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jacinthloom_wire.http_server import ServerResponse
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from jacinthloom_wire.http_server import Request

    from ..metrics import LatencyHistogram, LatencyHistograms

METRICS_PORT = 9464
"""Port of the metrics endpoint; the deploy file names it as well."""

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class ProcessMetrics:
    """Prometheus collector of one process.

    :param calls: number of responses to clients, by method and status
    :param decisions: decisions of the planner, by kind; empty in other processes
    :param is_planner: whether this process is the planner
    :param ignored_records: records of the store that could not be used, by topic
    """

    def __init__(
        self,
        calls: Mapping[str, int],
        latencies: tuple[LatencyHistogram | LatencyHistograms, ...],
        decisions: Callable[[], Mapping[str, int]],
        is_planner: Callable[[], bool],
        ignored_records: Mapping[str, int],
    ) -> None:
        self._ignored_records = ignored_records
        self._calls = calls
        self._latencies = latencies
        self._decisions = decisions
        self._is_planner = is_planner
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def collect(self) -> Iterator[Any]:
        """Yield every metric."""
        calls = CounterMetricFamily(
            "jacinthloom_calls", "Answers to clients.", labels=["method", "status"]
        )
        for key, count in sorted(self._calls.items()):
            calls.add_metric(key.split(), count)
        yield calls
        decisions = CounterMetricFamily(
            "jacinthloom_decisions", "Decisions of the planner.", labels=["kind"]
        )
        for kind, count in sorted(self._decisions().items()):
            decisions.add_metric([kind], count)
        yield decisions
        ignored = CounterMetricFamily(
            "jacinthloom_ignored_records",
            "Records of the store that could not be used.",
            labels=["topic"],
        )
        for topic, count in sorted(self._ignored_records.items()):
            ignored.add_metric([topic], count)
        yield ignored
        planner = GaugeMetricFamily("jacinthloom_is_planner", "Whether it plans.")
        planner.add_metric([], float(self._is_planner()))
        yield planner
        for latency in self._latencies:
            yield from latency.collect()

    async def handle(self, request: Request) -> ServerResponse:
        """Handle a request for the metrics."""
        if request.path != "/metrics":
            return ServerResponse.from_json(404, {})
        return ServerResponse(200, bytes(generate_latest(self._registry)), CONTENT_TYPE)
