"""hibiscusstep.cmdline.early_signals: records signals before the loop handles them.

By default a signal ends a process at once. On a busy machine the interpreter and the
libraries of an instance take more than a second to load. Signals are therefore recorded
from the first statement on and handled once the instance runs.
"""

import signal
import time

__all__ = [
    "HANDLED_SIGNALS",
    "RELOAD_SIGNAL",
    "STOP_SIGNALS",
    "record_signals",
    "reload_times",
    "run_entry",
    "stop_times",
]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
HANDLED_SIGNALS = (*STOP_SIGNALS, RELOAD_SIGNAL)
# Times at which these signals arrived, on the monotonic clock.
reload_times: list[float] = []
stop_times: list[float] = []


def record_signals() -> None:
    """Record signals from now on, until the event loop handles them."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, _record_time)


def _record_time(number: int, _frame) -> None:
    times = reload_times if number == RELOAD_SIGNAL else stop_times
    times.append(time.monotonic())


def run_entry() -> None:
    """Run hibiscusstep-entry; the entry point of its script."""
    record_signals()
    from hibiscusstep.cmdline.entry import main

    main()
