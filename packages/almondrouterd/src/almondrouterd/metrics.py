"""Metrics of the daemon, in the Prometheus text format."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Iterable, Mapping, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

from almondrouter.protocol.headers import Outcome

CALL_SECONDS_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)

Samples = Iterable[tuple[Mapping[str, str], float]]


class DaemonMetrics:
    """Counts calls as they finish; reads other values when metrics are rendered."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._callbacks: list[tuple[Gauge | Counter, Callable[[], Samples]]] = []
        self._calls = Counter(
            "almond_calls_total",
            "Calls by class, outcome and code",
            registry=self._registry,
        )
        self._call_seconds = Histogram(
            "almond_call_seconds",
            "Time from a caller's request to its response, by class and outcome",
            registry=self._registry,
            buckets=CALL_SECONDS_BUCKETS,
        )
        self.add_gauge("almond_process_cpu_seconds", "Processor time", _read_cpu)
        self.add_gauge("almond_process_resident_bytes", "Resident memory", _read_memory)

    def record_call(
        self, class_name: str, outcome: Outcome, code: str, seconds: float
    ) -> None:
        """Count a finished call of a caller."""
        labels = {"class": class_name, "outcome": outcome.value}
        self._calls.inc({**labels, "code": code})
        self._call_seconds.observe(labels, seconds)

    def add_gauge(self, name: str, summary: str, read: Callable[[], Samples]) -> None:
        """Add a gauge whose samples are read when metrics are rendered."""
        gauge = Gauge(name, summary, registry=self._registry)
        self._callbacks.append((gauge, read))

    def add_counter(self, name: str, summary: str, read: Callable[[], Samples]) -> None:
        """Add a counter whose samples are read when metrics are rendered."""
        counter = Counter(name, summary, registry=self._registry)
        self._callbacks.append((counter, read))

    def add_histogram(
        self, name: str, summary: str, buckets: Sequence[float]
    ) -> Callable[[float], None]:
        """Add a histogram without labels; return the function that observes a value."""
        histogram = Histogram(name, summary, registry=self._registry, buckets=buckets)
        return lambda value: histogram.observe({}, value)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        for metric, read in self._callbacks:
            for labels, value in read():
                metric.set(dict(labels), value)
        return text.TextFormatter().marshall(self._registry)


def make_unlabelled_samples(value: float) -> Samples:
    """Return a single sample without labels."""
    return (({}, value),)


def _read_cpu() -> Samples:
    return make_unlabelled_samples(time.process_time())


def _read_memory() -> Samples:
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return make_unlabelled_samples(pages * resource.getpagesize())
