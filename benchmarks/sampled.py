"""Run a program and sample where it spends processor time; SIGUSR2 prints and resets the counts."""

from __future__ import annotations

import json
import os
import runpy
import signal
import sys
from collections import Counter
from types import FrameType

__all__ = ["main"]

SAMPLE_INTERVAL_S = 0.001
# Cause of a sample by a function of its stack; the first one that is found decides.
CAUSE_BY_FUNCTION = {
    "log_event": "logs",
    "apply_news": "news",
    "_build_news": "news",
    "build_answer": "news",
    "_report_state": "reports",
    "_poll_engine": "engine polls",
    "_receive": "reports",
    "_relay": "reports",
    "_exchange_with": "heartbeats",
    "_exchange_with_all": "heartbeats",
    "_round": "heartbeats",
    "process": "heartbeats",
    "_watch": "mirrors",
    "_step": "mirrors",
    "_stage_and_order": "weights",
    "_pull_share": "weights",
    "_serve": "requests",
    "_watch_for_disconnect": "requests",
    "check_for_changes": "settings file",
    "wait_for_stop": "wait for stop",
    "fire_timers": "timers",
    "wait": "waiting in the hub",
    "run_entry": "start",
    "run_agent": "start",
}

_samples: Counter[str] = Counter()


def cause_of(frame: FrameType | None) -> str:
    """Return the cause of the work on a stack."""
    names = set()
    while frame is not None:
        names.add(frame.f_code.co_name)
        frame = frame.f_back
    return next((cause for name, cause in CAUSE_BY_FUNCTION.items() if name in names), "other")


def main() -> None:
    """Run the script or module that the arguments name."""
    signal.signal(signal.SIGPROF, lambda _, frame: _samples.update((cause_of(frame),)))
    signal.signal(signal.SIGUSR2, _print_samples)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)
    sys.argv = sys.argv[1:]
    if sys.argv[0] == "-m":
        sys.argv = sys.argv[1:]
        runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
    else:
        sys.path[0] = os.path.dirname(os.path.abspath(sys.argv[0]))
        runpy.run_path(sys.argv[0], run_name="__main__")


def _print_samples(*_: object) -> None:
    os.write(1, b"\nsamples " + json.dumps(_samples).encode() + b"\n")
    _samples.clear()


if __name__ == "__main__":
    main()
