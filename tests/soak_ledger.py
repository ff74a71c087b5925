"""Record of the soak's target runs and callers' results, and promise checks."""

import time
from collections import defaultdict
from dataclasses import dataclass, field

NOT_RUN = {408, 421, 429, 503}
REPEATABLE = {"safe", "resume"}
# Configured maximum of attempts per request, counted on targets that did not crash.
MAX_ATTEMPTS = 2
# Two seconds are promised after a target announces that it leaves; one second is
# tolerance for a busy machine.
DRAIN_S = 3.0
# Later than this after its third crash, a request may crash few further targets.
CONTACT_S = 5.0
MOST_LATE_CRASHES = 3
# A rolled-back version gets no requests after this time; five seconds are promised.
ROLLBACK_S = 5.0


@dataclass
class TargetRun:
    """TargetRun of a request on a target."""

    target: str
    tenant: str
    fields: dict


@dataclass
class CallerResult:
    """Result of a request as its caller saw it.

    Parameters
    ----------
    kind, customer : str
        First part of the route; the customer, empty if the key is unknown.
    status : int
        HTTP status; 0 if the connection ended before the response head.
    whole : bool
        Whether the answer ended normally.
    body : bytes
        Received part of the body.
    seal : str
        Seal of the target.
    where : str
        Name of the instance.
    leaves : bool
        Whether the target announced in the answer that it leaves.
    start : str
        Identifies the start of the target that answered.
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
    """All runs and results of one soak."""

    runs: dict[str, list[TargetRun]] = field(default_factory=lambda: defaultdict(list))
    seen: dict[str, CallerResult] = field(default_factory=dict)
    crashed: set[str] = field(default_factory=set)
    late: list[str] = field(default_factory=list)
    # Times of target crashes, by the request that caused them.
    crashes: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    # Time at which an instance first forwarded that a target leaves, by process and
    # start of the target.
    heard: dict[tuple[int, str], float] = field(default_factory=dict)
    # Versions that may get requests, and times at which others were rolled back.
    versions: set[str] = field(default_factory=lambda: {"v1"})
    taken_back: dict[str, float] = field(default_factory=dict)

    def record_run(self, name, version):
        """Record a run of a request on a target of a version."""
        if version not in self.versions:
            self.late.append(f"{name} at a version that was not ordered: {version}")
        rolled_back_at = self.taken_back.get(version)
        if (
            rolled_back_at is not None
            and time.monotonic() > rolled_back_at + ROLLBACK_S
        ):
            self.late.append(f"{name} at a version that was rolled back: {version}")

    def findings(self):
        """Return a line per broken promise."""
        lines = [f"sent too late: {what}" for what in self.late]
        for request, times in self.crashes.items():
            lines += self._check_crashes(request, sorted(times))
        for name, runs in self.runs.items():
            lines += self._check_runs(name, runs)
        for name, seen in self.seen.items():
            lines += self._check_answer(name, seen)
        return lines

    def _check_crashes(self, request, times):
        late = [at for at in times[3:] if at > times[2] + CONTACT_S]
        if len(late) > MOST_LATE_CRASHES:
            yield f"{request}: {len(late)} late crashes after the third of {len(times)}"

    def record_answer(self, process, target, sent_at, now, leaves):
        """Record an answer of a target; report it if its request was sent too late."""
        heard = self.heard.get((process, target))
        if heard is not None and sent_at > heard + DRAIN_S:
            self.late.append(
                f"{target}, {sent_at - heard:.1f} s after it announced to leave"
            )
        if leaves:
            self.heard.setdefault((process, target), now)

    def _check_runs(self, name, runs):
        seen = self.seen.get(name)
        if seen is None:
            yield f"{name}: run, but no caller sent it"
            return
        if seen.kind not in REPEATABLE and len(runs) > 1:
            yield f"{name}: {seen.kind} ran {len(runs)} times"
        steady = [run for run in runs if run.target not in self.crashed]
        if len(steady) > MAX_ATTEMPTS:
            yield f"{name}: attempts on {len(steady)} targets"
        for run in runs:
            if run.tenant != seen.customer:
                yield f"{name}: run for {run.tenant!r}, sent by {seen.customer!r}"
            passed = {"authorization", "x-hold", "x-pin-ms"} & run.fields.keys()
            if passed:
                yield f"{name}: forwarded {passed}"

    def _check_answer(self, name, seen):
        runs = self.runs.get(name, [])
        if seen.status in NOT_RUN and runs:
            yield f"{name}: status {seen.status}, but it ran"
        if seen.status == 401 and seen.customer:
            yield f"{name}: status 401 for a valid key from {seen.where}"
        if seen.status == 404:
            yield f"{name}: status 404 on a valid route from {seen.where}"
        if seen.seal and seen.seal not in {f"{name}.{run.target}" for run in runs}:
            yield f"{name}: seal {seen.seal!r} is of another answer"
        if 200 <= seen.status < 300 and seen.whole:
            yield from self._check_success(name, seen, runs)

    def _check_success(self, name, seen, runs):
        if not seen.seal:
            yield f"{name}: a success without a seal"
        if seen.kind in ("resume", "stream"):
            if seen.body != b"".join(events(name)):
                yield f"{name}: events are incomplete or wrong: {seen.body[-80:]!r}"
        elif seen.body not in {body_of(name, run.target) for run in runs}:
            yield f"{name}: wrong body {seen.body[:60]!r}"


def body_of(name, target):
    """Return the body of a target's answer to a request."""
    return f"{name} by {target}".encode()


def events(name):
    """Return the events of a stream, the same from any target."""
    count = 5 + sum(name.encode()) % 12
    return [f"id: {n}\ndata: {name} {n}\n\n".encode() for n in range(1, count + 1)]
