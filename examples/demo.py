"""examples.demo: runs the system for a few seconds and prints a summary."""

import argparse
import asyncio
import signal
import sys
import threading
from pathlib import Path

from fleet import Fleet

from hibiscusstep.events import EventKind, read_history
from hibiscusstep.load.drive import Driver, State
from hibiscusstep.load.mix import arrivals, load_mix
from hibiscusstep.load.report import make_report

MIX = Path(__file__).parent / "loads" / "demo.json"
KILL_AFTER_S = 2.0


def main():
    """Run the demo."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--kill", action="store_true", help="kill one of the entries")
    options.add_argument("--all", action="store_true", help="print every request")
    arguments = options.parse_args()
    mix = load_mix(MIX)
    print("starting a platform, 10 engines, 3 services and 3 entry instances ...")
    with Fleet(mix.deployment) as fleet:
        print(fleet.client("status").strip())
        recording = arrivals(mix, seed=1)
        print(f"\nsending {len(recording)} requests through 3 instances ...")
        killed = next(iter(fleet.instances))
        if arguments.kill:
            kill = threading.Timer(KILL_AFTER_S, fleet.signal, (killed, signal.SIGKILL))
            kill.start()
        results = asyncio.run(Driver(fleet.callers.values()).run(recording))
        report = make_report(results, [fleet.counts(n) for n in _engines(fleet)])
        history = read_history(fleet.history)
        if not arguments.kill:
            print(f"\ndecisions about one request ({results[0].request}):")
            print(fleet.client("explain", results[0].request).strip())
    _print_results(results, history, everything=arguments.all)
    _print_report(report)
    lost = [r for r in results if r.state in (State.BROKEN, State.WRONG)]
    others = [r for r in lost if not (arguments.kill and r.state is State.BROKEN)]
    if arguments.kill:
        print(f"{killed} was killed; its callers saw {len(lost)} broken connections")
    print("no request was lost or wrong" if not others else f"LOST: {others}")
    sys.exit(1 if others else 0)


def _engines(fleet):
    return list(fleet.pools["hibiscus-pool"]["targets"])


def _print_results(results, history, everything):
    where = {
        event.request: event.target
        for event in history
        if event.kind is EventKind.DISPATCHED
    }
    shown = results if everything else results[:12]
    print("\nanswers:")
    for result in shown:
        target = where.get(result.request, "-")
        print(
            f"  {result.arrival.kind:<10} {result.arrival.customer:<16} "
            f"{result.state:<16} {result.reason:<12} at {target:<10} "
            f"first {result.first:6.3f} s, end {result.end:6.3f} s"
        )
    if len(results) > len(shown):
        print(f"  ... and {len(results) - len(shown)} more (--all shows them)")


def _print_report(report):
    print("\nclass       useful  goodput  p50 and p95 to the first token")
    for kind, share in sorted(report.goodput.items()):
        first = report.first[kind]
        print(
            f"  {kind:<10} {report.useful[kind]:5d}   {share:6.1%}  "
            f"{first.get('p50', 0):.3f} s  {first.get('p95', 0):.3f} s"
        )
    print(f"ended: {report.states}; refusals: {report.refusals or 'none'}")
    share = report.wasted / max(1, report.prefilled)
    print(f"wasted prefill: {report.wasted} of {report.prefilled} tokens ({share:.1%})")


if __name__ == "__main__":
    main()
