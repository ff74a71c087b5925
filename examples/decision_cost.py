"""Measures the dispatcher's processor time per request, by the number of waiting ones.

Usage: python examples/decision_cost.py [--targets 30] [--requests 4000] [--limit 100]
[--customers 16] [--fair-shares] [--interval 0.001] [--waiting 100] [--memory 400000]

A pool with no free slots gets requests of three ranks in turn, at a rate that keeps the
given number of them waiting. Prints the microseconds of processor time for all messages
of one request, with the ticks meanwhile, without sockets and codecs.
"""

import itertools
import random
import time

import click

from hibiscusstep.routing import messages as m
from hibiscusstep.routing.dispatch_plan import DispatchPlan, PlannedPool, PlannedTarget
from hibiscusstep.routing.slot_dispatcher import SlotDispatcher

SLOTS = 10
RANKS = 3
# Requests per answer that ends; the others are refused.
REQUESTS_PER_ANSWER = 2
TICK_S = 0.05
WAITING = (10, 100, 1000)


def measure(
    targets: int,
    waiting: int,
    requests: int,
    limit: float | None = None,
    customers: int = 1,
    fair_shares: bool = False,
    interval: float = 0.001,
    memory: int = 0,
) -> float:
    """Return the microseconds per request with a number of waiting requests.

    Parameters
    ----------
    targets, waiting, requests : int
        Number of targets, of waiting requests, and of requests that are measured.
    limit : float or None
        Requests per second that each target accepts; None for any number.
    customers : int
        Number of customers, which send equally often.
    fair_shares : bool
        Whether the customers share the ranks.
    interval : float
        Seconds between two requests. It determines how many share a tick.
    memory : int
        Tokens that each target's memory holds, 0 for no bound. A request takes 1,000 to
        15,000.
    """
    pool = {f"t{n}": PlannedTarget(SLOTS, rate_limit=limit) for n in range(targets)}
    planned = PlannedPool(
        True, 6, 0.3, targets=pool, fair_shares=fair_shares, memory_tokens=memory
    )
    dispatcher = SlotDispatcher("p", DispatchPlan({"p": planned}))
    dispatcher.handle(m.Recovered(), 0.0)
    # The number of waiting requests is the number that arrive within the patience.
    patience = interval * waiting
    chosen = random.Random(1)
    next_tick = TICK_S
    running = itertools.count()
    held: list[str] = []
    spent = 0.0
    for n in range(targets * SLOTS + waiting + requests):
        now = n * interval
        work = m.Work(
            f"a{n}", f"r{n}", "i", f"c{chosen.randrange(customers)}",
            str(n % RANKS), n % RANKS, 2000, 300,
            now + patience, now, first_token_due=now + 2 * patience,
            memory_tokens=1000 * (1 + n % 15),
        )  # fmt: skip
        messages = [m.RequestGrant(work)]
        if n >= targets * SLOTS and held and not n % REQUESTS_PER_ANSWER:
            ask = held.pop(next(running) % 7)
            messages.append(m.Finished(ask, m.GrantOutcome.DONE, 50, 1.0))
        if now >= next_tick:
            next_tick += TICK_S
            messages.append(m.TimePassed())
        began = time.process_time()
        decisions = [d for message in messages for d in dispatcher.handle(message, now)]
        granted = [d.work.ask for d in decisions if isinstance(d, m.Grant)]
        for ask in granted:
            dispatcher.handle(m.FirstToken(ask, 0.1), now)
        if n >= targets * SLOTS + waiting:
            spent += time.process_time() - began
        held += granted
    return 1e6 * spent / requests


@click.command()
@click.option("--targets", default=30, show_default=True)
@click.option("--requests", default=4000, show_default=True)
@click.option("--limit", type=float, help="Requests per second of each target.")
@click.option("--customers", default=1, show_default=True)
@click.option("--fair-shares", is_flag=True, help="Customers share the ranks.")
@click.option("--interval", default=0.001, help="Seconds between two requests.")
@click.option("--waiting", multiple=True, type=int, help="Number of waiting requests.")
@click.option("--memory", default=0, help="Tokens of each target's memory.")
def main(
    targets: int,
    requests: int,
    limit: float | None,
    customers: int,
    fair_shares: bool,
    interval: float,
    waiting: tuple[int, ...],
    memory: int,
) -> None:
    """Print a line per number of waiting requests."""
    for number in waiting or WAITING:
        spent = measure(
            targets, number, requests, limit, customers, fair_shares, interval, memory
        )
        shares = "fair shares" if fair_shares else "no shares"
        click.echo(
            f"{targets} targets, {customers} customers, {shares}, {number} waiting: "
            f"{spent:.0f} us a request"
        )


if __name__ == "__main__":
    main()
