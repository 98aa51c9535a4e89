"""Start, signal and kill the processes of a site; no other module starts processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

from attrs import define, field

__all__ = ["Process", "Processes"]

STOP_WAIT_S = 20.0


@define(eq=False)
class Process:
    """A started process and the path of its log file."""

    name: str
    popen: subprocess.Popen
    log_path: Path

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process unless it has exited."""
        if self.popen.poll() is None:
            os.kill(self.popen.pid, signal_number)

    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self.popen.poll() is None

    def wait(self, timeout_s: float = STOP_WAIT_S) -> int:
        """Wait for the process to exit and return its exit status."""
        return self.popen.wait(timeout_s)


@define(eq=False)
class Processes:
    """All processes of a run by name; each is signaled by its process id."""

    log_dir: Path
    command: tuple[str, ...] = (sys.executable, "-m", "daisystack")
    by_name: dict[str, Process] = field(factory=dict)

    def start(self, name: str, *arguments: str) -> Process:
        """Start the command with arguments under a name and append its output to a log file."""
        self.log_dir.mkdir(parents=True, exist_ok=True)
        log_path = self.log_dir / f"{name}.log"
        with log_path.open("ab") as stream:
            popen = subprocess.Popen(
                [*self.command, *arguments], stdout=stream, stderr=stream, stdin=subprocess.DEVNULL
            )
        process = Process(name, popen, log_path)
        self.by_name[name] = process
        return process

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        self.by_name[name].signal(signal.SIGKILL)
        self.by_name[name].wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.by_name[name].signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.by_name[name].signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Request a graceful shutdown with SIGTERM."""
        self.by_name[name].signal(signal.SIGTERM)

    def kill_all(self) -> None:
        """Kill every process that is still running, suspended ones included."""
        for process in self.by_name.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.by_name.values():
            process.wait()
