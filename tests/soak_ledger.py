"""What the soak's targets ran and its callers saw, and the promises over both."""

import time
from collections import defaultdict
from dataclasses import dataclass, field

NOT_RUN = {408, 421, 429, 503}
REPEATABLE = {"safe", "resume"}
# Attempts of one request on targets that lived all the while, by the configuration.
MAX_ATTEMPTS = 2
# Two seconds are promised for a target that says that it leaves; one is for a busy
# machine.
DRAIN_S = 3.0
# Later than that after a request's third crash it reaches few targets more.
CONTACT_S = 5.0
MOST_LATE_CRASHES = 3
# Nothing reaches a version so long after it was taken back; five seconds are promised.
ROLLBACK_S = 5.0


@dataclass
class Run:
    """A request that a target began to work on."""

    target: str
    tenant: str
    fields: dict


@dataclass
class Seen:
    """What a caller got for one request.

    Parameters
    ----------
    kind, customer : str
        The route's first part; who asked, empty if its key is not known.
    status : int
        0 if the connection ended without a whole head.
    whole : bool
        Whether the answer looked complete.
    body : bytes
        What came of it.
    seal : str
        Of the target, as it came.
    where : str
        The instance.
    leaves : bool
        Whether the target said in it that it leaves.
    start : str
        Which start of the target gave it.
    """

    kind: str
    customer: str
    status: int = 0
    whole: bool = False
    body: bytes = b""
    seal: str = ""
    where: str = ""
    leaves: bool = False
    start: str = ""


@dataclass
class Ledger:
    """All runs and all answers of one soak."""

    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    seen: dict[str, Seen] = field(default_factory=dict)
    crashed: set[str] = field(default_factory=set)
    late: list[str] = field(default_factory=list)
    # When targets crashed, by the request that did it, and what was sent of it: when,
    # and whether its instance had run undisturbed for long enough.
    crashes: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    # When an instance first passed on that a target leaves, by process and start.
    heard: dict[tuple[int, str], float] = field(default_factory=dict)
    # Versions that may get requests, and when others were taken back.
    versions: set[str] = field(default_factory=lambda: {"v1"})
    taken_back: dict[str, float] = field(default_factory=dict)

    def ran(self, name, version):
        """Note that a target of a version runs a request."""
        if version not in self.versions:
            self.late.append(f"{name} at a version that nobody ordered: {version}")
        back = self.taken_back.get(version)
        if back is not None and time.monotonic() > back + ROLLBACK_S:
            self.late.append(f"{name} at a version that was taken back: {version}")

    def findings(self):
        """Return a line for each broken promise."""
        lines = [f"after it had left: {what}" for what in self.late]
        for request, times in self.crashes.items():
            lines += self._of_crashes(request, sorted(times))
        for name, runs in self.runs.items():
            lines += self._of_runs(name, runs)
        for name, seen in self.seen.items():
            lines += self._of_answer(name, seen)
        return lines

    def _of_crashes(self, request, times):
        late = [at for at in times[3:] if at > times[2] + CONTACT_S]
        if len(late) > MOST_LATE_CRASHES:
            yield f"{request}: {len(late)} crashes long after its third, {len(times)}"

    def passed_on(self, process, target, sent_at, now, leaves):
        """Note an answer of a target through an instance; what was sent too late."""
        heard = self.heard.get((process, target))
        if heard is not None and sent_at > heard + DRAIN_S:
            self.late.append(f"{target}, {sent_at - heard:.1f} s after its own word")
        if leaves:
            self.heard.setdefault((process, target), now)

    def _of_runs(self, name, runs):
        seen = self.seen.get(name)
        if seen is None:
            yield f"{name}: run, and no caller sent it"
            return
        if seen.kind not in REPEATABLE and len(runs) > 1:
            yield f"{name}: {seen.kind} ran {len(runs)} times"
        steady = [run for run in runs if run.target not in self.crashed]
        if len(steady) > MAX_ATTEMPTS:
            yield f"{name}: on {len(steady)} targets"
        for run in runs:
            if run.tenant != seen.customer:
                yield f"{name}: run for {run.tenant!r}, asked by {seen.customer!r}"
            passed = {"authorization", "x-hold", "x-pin-ms"} & run.fields.keys()
            if passed:
                yield f"{name}: passed on {passed}"

    def _of_answer(self, name, seen):
        runs = self.runs.get(name, [])
        if seen.status in NOT_RUN and runs:
            yield f"{name}: told {seen.status}, and it ran"
        if seen.status == 401 and seen.customer:
            yield f"{name}: told 401 with a good key by {seen.where}"
        if seen.status == 404:
            yield f"{name}: told 404 on a good route by {seen.where}"
        if seen.seal and seen.seal not in {f"{name}.{run.target}" for run in runs}:
            yield f"{name}: sealed {seen.seal!r} by another"
        if 200 <= seen.status < 300 and seen.whole:
            yield from self._of_success(name, seen, runs)

    def _of_success(self, name, seen, runs):
        if not seen.seal:
            yield f"{name}: a success without a seal"
        if seen.kind in ("resume", "stream"):
            if seen.body != b"".join(events(name)):
                yield f"{name}: events are not whole: {seen.body[-80:]!r}"
        elif seen.body not in {body_of(name, run.target) for run in runs}:
            yield f"{name}: body {seen.body[:60]!r}"


def body_of(name, target):
    """Return the body that a target makes for a request."""
    return f"{name} by {target}".encode()


def events(name):
    """Return the events that any target makes for a stream."""
    count = 5 + sum(name.encode()) % 12
    return [f"id: {n}\ndata: {name} {n}\n\n".encode() for n in range(1, count + 1)]
