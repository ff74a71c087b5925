"""Record of the soak's target runs and callers' results, and promise checks."""

import time
from collections import defaultdict
from dataclasses import dataclass, field

from soak_limits import LimitLedger
from soak_retries import RetryLedger
from soak_streams import StreamLedger, hide_versions, stream_of

# Requests whose names end so have large responses, which do not fit into the kernel.
LARGE_SUFFIX = "-large"
LARGE_BODY_BYTES = 12 << 20
LARGE_EVENT_BYTES = 1 << 20
NOT_RUN_STATUSES = {408, 421, 429, 503}
REPEATABLE_KINDS = {"safe", "resume"}
# Configured maximum of attempts per request, counted on targets that did not crash.
MAX_ATTEMPTS = 2
# Two seconds are promised after a target announces that it leaves; one second is
# tolerance for a busy machine.
LEAVING_NOTICE_S = 3.0
# Later than this after its third crash, a request may crash few further targets.
QUARANTINE_SPREAD_S = 5.0
MAX_LATE_CRASHES = 3
# The same for a part of prompts, after its fifth crash.
CRASHES_OF_PART = 5
# A rolled-back version gets no requests after this time; five seconds are promised.
ROLLBACK_S = 5.0


@dataclass
class TargetRun:
    """Run of a request on a target."""

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
    limited : bool
        Whether the target named a limit in the answer.
    process : int
        Process id of the instance.
    after : int
        Number of the event after which the request resumes a stream.
    sent_at, began_at, ended_at : float
        Times of the request, of the first bytes of the body and of the end.
    left : bool
        Whether the caller left before the end.
    serving : int
        Number of targets of the resumed stream's version that were ready all the time.
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
    limited: bool = False
    process: int = 0
    after: int = 0
    sent_at: float = 0.0
    began_at: float = 0.0
    ended_at: float = 0.0
    left: bool = False
    serving: int = 0


@dataclass
class Ledger:
    """All runs and results of one soak."""

    runs: dict[str, list[TargetRun]] = field(default_factory=lambda: defaultdict(list))
    results: dict[str, CallerResult] = field(default_factory=dict)
    crashed: set[str] = field(default_factory=set)
    late_requests: list[str] = field(default_factory=list)
    # Times of target crashes, by the request that caused them.
    crashes: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    part_crashes: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Time at which an instance first forwarded that a target leaves, by process and
    # start of the target.
    leaving_forwarded_at: dict[tuple[int, str], float] = field(default_factory=dict)
    # Versions that may get requests, and times at which others were rolled back.
    versions: set[str] = field(default_factory=lambda: {"v1"})
    rolled_back_at: dict[str, float] = field(default_factory=dict)
    limits: LimitLedger = field(default_factory=LimitLedger)
    retries: RetryLedger = field(default_factory=RetryLedger)
    all_killed_at: list[float] = field(default_factory=list)

    def record_run(self, name, version):
        """Record a run of a request on a target of a version."""
        if version not in self.versions:
            self.late_requests.append(
                f"{name} at a version that was not ordered: {version}"
            )
        rolled_back_at = self.rolled_back_at.get(version)
        if (
            rolled_back_at is not None
            and time.monotonic() > rolled_back_at + ROLLBACK_S
        ):
            self.late_requests.append(
                f"{name} at a version that was rolled back: {version}"
            )

    def findings(self):
        """Return a line per broken promise."""
        lines = [f"sent too late: {what}" for what in self.late_requests]
        processes = {name: result.process for name, result in self.results.items()}
        lines += self.limits.findings(processes)
        lines += self.retries.findings()
        lines += self.streams().findings()
        for request, times in self.crashes.items():
            lines += self._check_crashes(request, sorted(times), 3)
        for part, times in self.part_crashes.items():
            lines += self._check_crashes(part, sorted(times), CRASHES_OF_PART)
        for name, runs in self.runs.items():
            lines += self._check_runs(name, runs)
        for name, result in self.results.items():
            lines += self._check_answer(name, result)
        return lines

    def streams(self):
        """Return the record of all streams."""
        return StreamLedger(self.results, self.all_killed_at)

    def _check_crashes(self, name, times, count):
        late = [
            at for at in times[count:] if at > times[count - 1] + QUARANTINE_SPREAD_S
        ]
        if len(late) > MAX_LATE_CRASHES:
            yield f"{name}: {len(late)} late crashes after {count} of {len(times)}"

    def record_answer(self, process, target, sent_at, now, leaves):
        """Record an answer of a target; report it if its request was sent too late."""
        forwarded_at = self.leaving_forwarded_at.get((process, target))
        if forwarded_at is not None and sent_at > forwarded_at + LEAVING_NOTICE_S:
            self.late_requests.append(
                f"{target}, {sent_at - forwarded_at:.1f} s after it announced to leave"
            )
        if leaves:
            self.leaving_forwarded_at.setdefault((process, target), now)

    def _check_runs(self, name, runs):
        result = self.results.get(name)
        if result is None:
            yield f"{name}: run, but no caller sent it"
            return
        if result.kind not in REPEATABLE_KINDS and len(runs) > 1:
            yield f"{name}: {result.kind} ran {len(runs)} times"
        steady = [run for run in runs if run.target not in self.crashed]
        if len(steady) > MAX_ATTEMPTS:
            yield f"{name}: attempts on {len(steady)} targets"
        for run in runs:
            if run.tenant != result.customer:
                yield f"{name}: run for {run.tenant!r}, sent by {result.customer!r}"
            passed = {"authorization", "x-hold", "x-pin-ms"} & run.fields.keys()
            if passed:
                yield f"{name}: forwarded {passed}"

    def _check_answer(self, name, result):
        runs = self.runs.get(name, [])
        if result.status in NOT_RUN_STATUSES and runs:
            yield f"{name}: status {result.status}, but it ran"
        if result.status == 503 and b'"part"' in result.body:
            yield f"{name}: refused for a part that crashes no target"
        if result.status == 401 and result.customer:
            yield f"{name}: status 401 for a valid key from {result.where}"
        if result.status == 404:
            yield f"{name}: status 404 on a valid route from {result.where}"
        if result.seal and result.seal not in {f"{name}.{run.target}" for run in runs}:
            yield f"{name}: seal {result.seal!r} is of another answer"
        if 200 <= result.status < 300 and result.whole:
            yield from self._check_success(name, result, runs)

    def _check_success(self, name, result, runs):
        if not result.seal:
            yield f"{name}: a success without a seal"
        if result.kind in ("resume", "stream"):
            missing = events(stream_of(name))[result.after :]
            if hide_versions(result.body) != hide_versions(b"".join(missing)):
                yield f"{name}: events are incomplete or wrong: {result.body[-80:]!r}"
        elif result.body not in {body_of(name, run.target) for run in runs}:
            yield f"{name}: wrong body {result.body[:60]!r}"


def body_of(name, target):
    """Return the body of a target's answer to a request."""
    return f"{name} by {target}".encode() + _padding(name, LARGE_BODY_BYTES)


def events(name, version="v1"):
    """Return the events of a stream, the same from any target of a version."""
    count = 5 + sum(name.encode()) % 12
    padding = _padding(name, LARGE_EVENT_BYTES)
    return [
        f"id: {n}\nevent: {version}\ndata: {name} {n}".encode() + padding + b"\n\n"
        for n in range(1, count + 1)
    ]


def _padding(name, size):
    return b"." * size if name.endswith(LARGE_SUFFIX) else b""
