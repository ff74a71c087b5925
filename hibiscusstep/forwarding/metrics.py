"""hibiscusstep.forwarding.metrics: metrics of a forwarding instance."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["ForwardingMetrics"]

BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
_PREFIX = "hibiscusstep_forward"


class ForwardingMetrics:
    """Counters, gauges and histograms of an instance.

    Label values are routes, pools and outcomes, never requests, customers or targets,
    to limit the number of time series.

    Attributes
    ----------
    requests : aioprometheus.Counter
        Answered requests by route, rank and status.
    attempts : aioprometheus.Counter
        Attempts by pool, the target's version and outcome.
    repeats : aioprometheus.Counter
        Retries by pool.
    first_event : aioprometheus.Histogram
        Seconds from receipt to the first event or the whole response, by route.
    stream_pause : aioprometheus.Histogram
        The longest pause between events of a response, by route, in seconds.
    queue_wait : aioprometheus.Histogram
        Seconds of waiting for a grant, by pool.
    cut_off : aioprometheus.Counter
        Exchanges cut off, by reason and whether the request may be repeated.
    connections_refused : aioprometheus.Counter
        Callers that kept no limit, or were closed to make room, by port and reason.
    memory_waits : aioprometheus.Counter
        Requests that waited for memory of a target, by pool dispatched here.
    streams_not_continued : aioprometheus.Counter
        Broken streams without a target of the version that began them, by pool and
        reason.
    refused_without_version : aioprometheus.Counter
        Requests refused since no version of the pool's targets may serve.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests = self._counter("requests_total", "Answered requests.")
        self.attempts = self._counter("attempts_total", "Attempts at targets.")
        self.repeats = self._counter("repeats_total", "Attempts beyond the first.")
        self.first_event = self._histogram("first_event_seconds", "To first event.")
        self.stream_pause = self._histogram("longest_pause_seconds", "Longest pause.")
        self.queue_wait = self._histogram("queue_wait_seconds", "Wait for a grant.")
        self.cut_off = self._counter("cut_off_total", "Exchanges cut off.")
        self.connections_refused = self._counter(
            "connections_refused_total", "Connections refused or closed for others."
        )
        self.memory_waits = self._counter("memory_waits_total", "Waited for memory.")
        self.streams_not_continued = self._counter(
            "streams_not_continued_total", "Streams whose version is gone or unknown."
        )
        self.refused_without_version = self._counter(
            "refused_without_version_total", "No version of the targets may serve."
        )
        self._gauges: dict[str, Gauge] = {}

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge, which is created on first use."""
        if name not in self._gauges:
            self._gauges[name] = Gauge(
                f"{_PREFIX}_{name}", name.replace("_", " "), registry=self._registry
            )
        self._gauges[name].set(labels, value)

    def render(self) -> tuple[bytes, dict]:
        """Return the metrics in text format and their HTTP headers."""
        return render(self._registry, [])

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(f"{_PREFIX}_{name}", help_text, registry=self._registry)

    def _histogram(self, name: str, help_text: str) -> Histogram:
        return Histogram(
            f"{_PREFIX}_{name}", help_text, buckets=BUCKETS_S, registry=self._registry
        )
