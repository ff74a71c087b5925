"""Record of streams over their callers' tries, and the checks of their versions.

A stream holds events of one software version. Of the streams that callers resumed while
`SERVING_TARGETS` of their version were ready, those that go on are at least half as
often as new ones that begin meanwhile. Only callers that an instance answered count;
streams that began within `RECORDED_S` before a kill of all instances are excused.
"""

import re
from dataclasses import dataclass, field

__all__ = ["Stream", "StreamLedger", "hide_versions", "stream_of", "try_of"]

MIN_RESUMED = 12
SERVING_TARGETS = 2
RECORDED_S = 1.0
STREAM_KINDS = ("resume", "stream")
# Between the id of a stream's first request and the number of a try.
TRY_MARK = "~"
_VERSION_LINE = re.compile(rb"\nevent: (\w+)\n")
_WHOLE_EVENT = re.compile(rb"id: (\d+)\nevent: (\w+)\ndata: [^\n]*\n\n")


@dataclass
class Stream:
    """Results of a stream's requests, by request id in the order of sending."""

    tries: dict = field(default_factory=dict)

    @property
    def first(self):
        """Result of the first request."""
        return next(iter(self.tries.values()))

    @property
    def resumed(self):
        """Results of the resumed requests."""
        return list(self.tries.values())[1:]

    @property
    def versions(self):
        """Versions that wrote the events."""
        bodies = [result.body for result in self.tries.values()]
        return {v.decode() for body in bodies for v in _VERSION_LINE.findall(body)}

    @property
    def version(self):
        """Version that wrote the first event; empty if there is none."""
        return next((v for v in map(_first_version, self.tries.values()) if v), "")

    @property
    def begun_by(self):
        """Id of the request that brought the first event; empty if there is none."""
        return next((n for n, r in self.tries.items() if _first_version(r)), "")

    @property
    def last_event(self):
        """Number of the last whole event; 0 if there is none."""
        found = [_WHOLE_EVENT.findall(r.body) for r in self.tries.values()]
        return max((int(number) for events in found for number, _ in events), default=0)

    @property
    def is_broken(self):
        """Whether it began and neither ended nor was given up by its caller."""
        ended = any(
            r.left or (r.whole and r.status == 200) for r in self.tries.values()
        )
        return bool(self.begun_by) and not ended

    @property
    def goes_on(self):
        """Whether a resumed request brought an event or the end."""
        return any(
            r.status == 200 and (r.whole or _first_version(r)) for r in self.resumed
        )

    def is_resumed_during(self, at):
        """Whether a time is between its first and the end of its last try."""
        return self.resumed[0].sent_at <= at <= self.resumed[-1].ended_at


class StreamLedger:
    """All streams of a soak.

    Parameters
    ----------
    results : dict of str, CallerResult
        Results by request id.
    all_killed_at : list of float
        Times at which all instances were killed.
    """

    def __init__(self, results, all_killed_at=()):
        self._all_killed_at = all_killed_at
        streams = {}
        for name, result in results.items():
            if result.kind in STREAM_KINDS:
                stream = streams.setdefault(stream_of(name), Stream())
                stream.tries[name] = result
        self._streams = streams
        self._resumed = [s for s in streams.values() if s.resumed]
        self._owed = [s for s in self._resumed if self._is_owed(s)]
        self._gone_on = sum(s.goes_on for s in self._owed)
        self._meanwhile = [
            s
            for s in streams.values()
            if s.first.status
            and any(o.is_resumed_during(s.first.sent_at) for o in self._owed)
        ]
        self._begun = sum(bool(s.version) for s in self._meanwhile)

    def findings(self):
        """Yield a line per stream of two versions, and one if too few go on."""
        for name, stream in self._streams.items():
            versions = sorted(stream.versions)
            if len(versions) > 1:
                yield f"ORDER: {name} holds events of {' and '.join(versions)}"
        owed, meanwhile = len(self._owed), len(self._meanwhile)
        few = 2 * self._gone_on * meanwhile < self._begun * owed
        if owed >= MIN_RESUMED and few:
            yield f"LOST: {self.summary()}"

    def summary(self):
        """Return how many streams were resumed and went on, and how many began."""
        return (
            f"{len(self._resumed)} streams resumed, {len(self._owed)} at a version "
            f"that serves, {self._gone_on} of these go on; {self._begun} of "
            f"{len(self._meanwhile)} begin meanwhile"
        )

    def _is_owed(self, stream):
        began_at = stream.tries[stream.begun_by].began_at
        serves = all(r.serving >= SERVING_TARGETS for r in stream.resumed)
        return (
            serves
            and any(r.status for r in stream.resumed)
            and not any(at - RECORDED_S < began_at <= at for at in self._all_killed_at)
        )


def stream_of(request):
    """Return the id of the first request of a stream."""
    return request.partition(TRY_MARK)[0]


def try_of(stream, number):
    """Return the id of a stream's resumed request."""
    return f"{stream}{TRY_MARK}{number}"


def hide_versions(body):
    """Return events without the versions that wrote them."""
    return _VERSION_LINE.sub(b"\n", body)


def _first_version(result):
    found = _WHOLE_EVENT.search(result.body)
    return found[2].decode() if found else ""
