"""hibiscusstep.metrics: Prometheus metrics of an instance."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0)


class Metrics:
    """Counters, gauges and histograms of one instance.

    Attributes
    ----------
    requests : aioprometheus.Counter
        Answered requests by tier, route and outcome.
    first_byte : aioprometheus.Histogram
        Seconds from receipt to the first byte, by tier.
    connections_refused : aioprometheus.Counter
        Callers that kept no limit, or were closed to make room, by port and reason.
    open_requests, version, members, restarts : aioprometheus.Gauge
        Open requests, configuration version in force, live instances, task restarts.
    claim_writes, claims_written : aioprometheus.Gauge
        Number of claim writes, and number of claims in them.
    """

    def __init__(self) -> None:
        self._registry = registry = Registry()
        self.requests = Counter(
            "hibiscusstep_requests_total", "Answered requests.", registry=registry
        )
        self.first_byte = Histogram(
            "hibiscusstep_first_byte_seconds",
            "Seconds from receipt to first byte.",
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.connections_refused = Counter(
            "hibiscusstep_connections_refused_total",
            "Connections refused or closed for others.",
            registry=registry,
        )
        self.open_requests = self._gauge("open_requests", "Requests held now.")
        self.version = self._gauge("configuration_version", "Version in force.")
        self.members = self._gauge("members", "Live instances seen.")
        self.restarts = self._gauge("task_restarts", "Tasks restarted.")
        self.claim_writes = self._gauge("claim_writes", "Writes of claims.")
        self.claims_written = self._gauge("claims_written", "Claims written.")

    def render(self) -> tuple[bytes, dict]:
        """Return the Prometheus exposition text and its HTTP headers."""
        return render(self._registry, [])

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"hibiscusstep_{name}", doc, registry=self._registry)
