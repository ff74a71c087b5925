"""hibiscusstep.load.compare: one recording against several policies, in turn."""

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

__all__ = ["Deployment", "Run", "compare", "summarize"]

POLICY_FILE = "99-compare.json"
SETTLE_S = 1.0
IN_FORCE_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Where a running system is.

    Parameters
    ----------
    callers : tuple of str
        Callers' URL of each instance.
    operator : OperatorClient
        Of any instance.
    platform : Platform
        Where the configuration lives.
    platform_url : str
        Of the stand-in, for its control calls.
    """

    callers: tuple[str, ...]
    operator: OperatorClient
    platform: Platform
    platform_url: str


@dataclass(frozen=True, slots=True)
class Run:
    """One replay.

    Parameters
    ----------
    policy : str
        In force.
    seed : int
        Of the recording.
    report : Report
        The figures.
    platform_calls : dict of str to int
        Calls on the platform by kind.
    pool_counts : dict of str to int
        What the dispatchers counted, over all pools.
    """

    policy: str
    seed: int
    report: Report
    platform_calls: dict
    pool_counts: dict


async def compare(
    mix: Mix,
    deployment: Deployment,
    policies: list[str],
    seeds: list[int],
    rate: float,
    log: Callable[[str], None],
    only: list[str] | None = None,
) -> list[Run]:
    """Replay the recording of each seed against each policy in turn: A B A B.

    Parameters
    ----------
    mix : Mix
        What arrives, and what goes wrong.
    deployment : Deployment
        Against what.
    policies : list of str
        Put into force one after the other.
    seeds : list of int
        A recording for each.
    rate : float
        Factor on all rates.
    log : callable of str
        Gets a line on each run.
    only : list of str
        Classes that are sent; the others keep silent. None sends all.
    """
    runs = []
    async with aiohttp.ClientSession() as session:
        bench = _Bench(mix, deployment, session, only)
        for seed in seeds:
            for policy in policies:
                run = await bench.run(policy, seed, rate)
                runs.append(run)
                log(f"{policy} seed {seed}: {_line(run.report)}")
    return runs


class _Bench:
    def __init__(self, mix: Mix, deployment: Deployment, session, only) -> None:
        self._mix = mix
        self._deployment = deployment
        self._session = session
        self._only = only

    async def run(self, policy: str, seed: int, rate: float) -> Run:
        engines = await self._use(policy)
        recording = [
            arrival
            for arrival in arrivals(self._mix, seed, rate, salt=f"-{policy}")
            if not self._only or arrival.kind in self._only
        ]
        before = [await self._counts(url) for url in engines.values()]
        calls = await self._counts(self._deployment.platform_url)
        pools = await self._pool_counts()
        faults = asyncio.create_task(self._faults(engines))
        results = await Driver(self._deployment.callers).run(recording)
        faults.cancel()
        await self._mend(engines)
        await asyncio.sleep(SETTLE_S)
        after = [await self._counts(url) for url in engines.values()]
        calls_after = await self._counts(self._deployment.platform_url)
        report = make_report(
            results, [_minus(a, b) for a, b in zip(after, before, strict=True)]
        )
        pools = _minus(await self._pool_counts(), pools)
        return Run(policy, seed, report, _minus(calls_after, calls), pools)

    async def _pool_counts(self) -> dict:
        status = await self._deployment.operator.status()
        total: Counter = Counter()
        for state in status["pools"].values():
            total.update(state.get("counts", {}))
        return dict(total)

    async def _use(self, policy: str) -> dict[str, str]:
        """Put a policy into force; return the engines' URLs by name."""
        platform = self._deployment.platform

        def edit(stored: StoredConfiguration) -> StoredConfiguration:
            pools = stored.load().pools
            tree = {"pools": {name: {"policy": policy} for name in pools}}
            files = {**stored.files, POLICY_FILE: orjson.dumps(tree).decode()}
            return stored.model_copy(update={"files": files})

        applied = await apply_change(platform, edit, "compare", log=_silent)
        operator = self._deployment.operator
        await operator.wait_until_in_force(applied.version, IN_FORCE_TIMEOUT_S, _silent)
        _version, stored = await read_stored(platform)
        return {
            name: f"http://{target.address}"
            for pool in stored.load().pools.values()
            if pool.kind == "engine"
            for name, target in pool.targets.items()
        }

    async def _faults(self, engines: dict[str, str]) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        for fault in sorted(self._mix.faults, key=lambda fault: fault.at):
            await asyncio.sleep(max(0.0, start + fault.at - loop.time()))
            if fault.what == "slow":
                await self._control(engines[fault.target], slow=fault.factor)
            elif fault.what == "dead":
                await self._control(engines[fault.target], dead=True)
            else:
                down = fault.what == "platform-down"
                await self._control(self._deployment.platform_url, down=down)

    async def _mend(self, engines: dict[str, str]) -> None:
        for url in engines.values():
            await self._control(url, slow=1.0, dead=False)
        await self._control(self._deployment.platform_url, down=False)

    async def _control(self, url: str, **faults) -> None:
        async with self._session.post(f"{url}/control", json=faults) as response:
            response.raise_for_status()

    async def _counts(self, url: str) -> dict:
        async with self._session.get(f"{url}/control") as response:
            return await response.json()


def _silent(_line: str) -> None:
    pass


def _minus(after: dict, before: dict) -> dict:
    return {name: value - before.get(name, 0) for name, value in after.items()}


def _line(report: Report) -> str:
    shares = " ".join(f"{kind} {share:.3f}" for kind, share in report.goodput.items())
    return f"goodput {shares}, wasted {report.wasted} of {report.prefilled}"


def summarize(runs: list[Run]) -> dict:
    """Return medians and spread over the seeds, by policy and figure.

    Returns
    -------
    dict
        Policy to figure to ``[median, least, most]``. Goodput and times to the
        first token by class (``goodput.question``, ``first.question.p95``), wasted
        and aborted prefill in tokens, useful answers and refusals in number.
    """
    by_policy: dict[str, list[dict]] = {}
    for run in runs:
        by_policy.setdefault(run.policy, []).append(_flat(run))
    return {
        policy: {
            name: _spread([figures.get(name, 0.0) for figures in group])
            for name in sorted({name for figures in group for name in figures})
        }
        for policy, group in by_policy.items()
    }


def _flat(run: Run) -> dict[str, float]:
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


def _spread(values: list[float]) -> list[float]:
    return [round(v, 4) for v in (statistics.median(values), min(values), max(values))]
