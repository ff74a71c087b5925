"""hibiscusstep.cmdline.early_signals: signals that come before the loop follows them.

By default a signal ends a process at once. The interpreter and the libraries of an
instance take a second and more to load on a busy machine, so its signals are noted from
the first statement on and obeyed once something can.
"""

import signal
import time

__all__ = ["FOLLOWED", "RELOAD", "STOPS", "hold", "reloads", "run_entry", "stops"]

STOPS = (signal.SIGTERM, signal.SIGINT)
RELOAD = signal.SIGHUP
FOLLOWED = (*STOPS, RELOAD)
# When such signals came, on the monotonic clock.
reloads: list[float] = []
stops: list[float] = []


def hold() -> None:
    """Note the signals that come from now on, until a loop follows them."""
    for number in FOLLOWED:
        signal.signal(number, _note)


def _note(number: int, _frame) -> None:
    noted = reloads if number == RELOAD else stops
    noted.append(time.monotonic())


def run_entry() -> None:
    """Run hibiscusstep-entry, as its script does."""
    hold()
    from hibiscusstep.cmdline.entry import main

    main()
