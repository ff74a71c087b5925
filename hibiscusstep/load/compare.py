"""hibiscusstep.load.compare: replays recordings against several policies."""

import asyncio
import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
import orjson

from hibiscusstep.configuration.change import apply_change, read_stored
from hibiscusstep.configuration.stored import StoredConfiguration
from hibiscusstep.load.drive import Driver
from hibiscusstep.load.mix import Mix, arrivals
from hibiscusstep.load.report import Report, make_report
from hibiscusstep.operator_client import OperatorClient
from hibiscusstep.store import Platform

__all__ = ["PolicyRun", "RunningSystem", "compare", "summarize"]

POLICY_FILE = "99-compare.json"
SETTLE_S = 1.0
IN_FORCE_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class RunningSystem:
    """Addresses and clients of a running system.

    Parameters
    ----------
    callers : tuple of str
        URL for callers of each instance.
    operator : OperatorClient
        Client of any instance.
    platform : Platform
        Store of the configuration.
    platform_url : str
        URL of the platform stand-in, for its control calls.
    """

    callers: tuple[str, ...]
    operator: OperatorClient
    platform: Platform
    platform_url: str


@dataclass(frozen=True, slots=True)
class PolicyRun:
    """Replay of a recording with a policy.

    Parameters
    ----------
    policy : str
        Policy in force.
    seed : int
        Seed of the recording.
    report : Report
        Figures of the replay.
    platform_calls : dict of str to int
        Platform calls by kind.
    pool_counts : dict of str to int
        Sums of the dispatchers' counts over all pools.
    """

    policy: str
    seed: int
    report: Report
    platform_calls: dict
    pool_counts: dict


async def compare(
    mix: Mix,
    deployment: RunningSystem,
    policies: list[str],
    seeds: list[int],
    rate: float,
    log: Callable[[str], None],
    only: list[str] | None = None,
) -> list[PolicyRun]:
    """Replay the recording of each seed against each policy, alternating policies.

    Parameters
    ----------
    mix : Mix
        Arrivals and faults.
    deployment : RunningSystem
        System to run against.
    policies : list of str
        Policies to put into force in turn.
    seeds : list of int
        One recording each.
    rate : float
        Factor on all arrival rates.
    log : callable of str
        Receives a line per run.
    only : list of str
        Request classes to send; None sends all.
    """
    runs = []
    async with aiohttp.ClientSession() as session:
        replayer = _Replayer(mix, deployment, session, only)
        for seed in seeds:
            for policy in policies:
                run = await replayer.run(policy, seed, rate)
                runs.append(run)
                log(f"{policy} seed {seed}: {_format_report(run.report)}")
    return runs


class _Replayer:
    def __init__(self, mix: Mix, deployment: RunningSystem, session, only) -> None:
        self._mix = mix
        self._deployment = deployment
        self._session = session
        self._only = only

    async def run(self, policy: str, seed: int, rate: float) -> PolicyRun:
        engines = await self._activate_policy(policy)
        recording = [
            arrival
            for arrival in arrivals(self._mix, seed, rate, salt=f"-{policy}")
            if not self._only or arrival.kind in self._only
        ]
        before = [await self._read_counts(url) for url in engines.values()]
        calls = await self._read_counts(self._deployment.platform_url)
        pools = await self._pool_counts()
        faults = asyncio.create_task(self._inject_faults(engines))
        results = await Driver(self._deployment.callers).run(recording)
        faults.cancel()
        await self._clear_faults(engines)
        await asyncio.sleep(SETTLE_S)
        after = [await self._read_counts(url) for url in engines.values()]
        calls_after = await self._read_counts(self._deployment.platform_url)
        report = make_report(
            results, [_subtract(a, b) for a, b in zip(after, before, strict=True)]
        )
        pools = _subtract(await self._pool_counts(), pools)
        return PolicyRun(policy, seed, report, _subtract(calls_after, calls), pools)

    async def _pool_counts(self) -> dict:
        status = await self._deployment.operator.status()
        total: Counter = Counter()
        for state in status["pools"].values():
            total.update(state.get("counts", {}))
        return dict(total)

    async def _activate_policy(self, policy: str) -> dict[str, str]:
        """Put a policy into force and return the URLs of the engines by name."""
        platform = self._deployment.platform

        def edit(stored: StoredConfiguration) -> StoredConfiguration:
            pools = stored.load().pools
            tree = {"pools": {name: {"policy": policy} for name in pools}}
            files = {**stored.files, POLICY_FILE: orjson.dumps(tree).decode()}
            return stored.model_copy(update={"files": files})

        applied = await apply_change(platform, edit, "compare", log=_ignore_line)
        operator = self._deployment.operator
        await operator.wait_until_in_force(
            applied.version, IN_FORCE_TIMEOUT_S, _ignore_line
        )
        _version, stored = await read_stored(platform)
        return {
            name: f"http://{target.address}"
            for pool in stored.load().pools.values()
            if pool.kind == "engine"
            for name, target in pool.targets.items()
        }

    async def _inject_faults(self, engines: dict[str, str]) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        for fault in sorted(self._mix.faults, key=lambda fault: fault.at):
            await asyncio.sleep(max(0.0, start + fault.at - loop.time()))
            if fault.what == "slow":
                await self._set_faults(engines[fault.target], slow=fault.factor)
            elif fault.what == "dead":
                await self._set_faults(engines[fault.target], dead=True)
            else:
                down = fault.what == "platform-down"
                await self._set_faults(self._deployment.platform_url, down=down)

    async def _clear_faults(self, engines: dict[str, str]) -> None:
        for url in engines.values():
            await self._set_faults(url, slow=1.0, dead=False)
        await self._set_faults(self._deployment.platform_url, down=False)

    async def _set_faults(self, url: str, **faults) -> None:
        async with self._session.post(f"{url}/control", json=faults) as response:
            response.raise_for_status()

    async def _read_counts(self, url: str) -> dict:
        async with self._session.get(f"{url}/control") as response:
            return await response.json()


def _ignore_line(_line: str) -> None:
    pass


def _subtract(after: dict, before: dict) -> dict:
    return {name: value - before.get(name, 0) for name, value in after.items()}


def _format_report(report: Report) -> str:
    shares = " ".join(f"{kind} {share:.3f}" for kind, share in report.goodput.items())
    return f"goodput {shares}, wasted {report.wasted} of {report.prefilled}"


def summarize(runs: list[PolicyRun]) -> dict:
    """Return the median and spread over the seeds, by policy and figure.

    Returns
    -------
    dict
        Maps policy and figure to ``[median, least, most]``. Goodput and time to first
        token are by class (``goodput.question``, ``first.question.p95``), wasted and
        aborted prefill in tokens, useful answers and refusals in number.
    """
    by_policy: dict[str, list[dict]] = {}
    for run in runs:
        by_policy.setdefault(run.policy, []).append(_flatten_report(run))
    return {
        policy: {
            name: _median_and_range([figures.get(name, 0.0) for figures in group])
            for name in sorted({name for figures in group for name in figures})
        }
        for policy, group in by_policy.items()
    }


def _flatten_report(run: PolicyRun) -> dict[str, float]:
    report = run.report
    figures = {f"goodput.{kind}": share for kind, share in report.goodput.items()}
    figures |= {f"useful.{kind}": count for kind, count in report.useful.items()}
    figures |= {
        f"{name}.{kind}.{mark}": value
        for name, table in (("first", report.first), ("gaps", report.gaps))
        for kind, marks in table.items()
        for mark, value in marks.items()
    }
    figures["useful.all"] = sum(report.useful.values())
    figures["wasted"] = report.wasted
    figures["aborted"] = report.aborted
    figures["recomputed"] = report.recomputed
    figures["refused"] = sum(report.refusals.values())
    figures["refused.with_room"] = run.pool_counts.get("refused_with_room", 0)
    figures["platform.calls"] = sum(run.platform_calls.values())
    return figures


def _median_and_range(values: list[float]) -> list[float]:
    return [round(v, 4) for v in (statistics.median(values), min(values), max(values))]
