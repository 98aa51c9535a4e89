"""Inject a scripted sequence of faults into a running site."""

from __future__ import annotations

import threading
import time

from attrs import define, field

from daisystack.standins.site import CONFIG
from tools.site import Site

__all__ = ["FaultScript"]

FREEZE_S = 4.0


@define(eq=False)
class FaultScript:
    """Kill agents, suspend an entry and an agent, stall connections, serve an old revision."""

    site: Site
    _thread: threading.Thread = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the script in a thread."""
        self._thread.start()

    def join(self) -> None:
        """Wait until the script has ended its last fault."""
        self._thread.join()

    def _run(self) -> None:
        processes, address = self.site.processes, self.site.layout.address(CONFIG)
        time.sleep(1.0)
        self._print_fault("agent m2 killed, agent s1 killed, entry e2 frozen")
        processes.kill("m2")
        processes.kill("s1")
        processes.freeze("e2")
        self._stall_connections()
        self._print_fault("config service returns revision 1 again")
        self.site.set_faults(address, shown_revision=1)
        time.sleep(FREEZE_S)
        self._print_fault("entry e2 resumed, agents m2 and s1 replaced")
        processes.thaw("e2")
        self.site.start_agent(1)
        self.site.start_agent(self.site.layout.agents)
        time.sleep(FREEZE_S)
        self._stall_connections()
        self._print_fault("agent m3 frozen, to be resumed")
        processes.freeze("m3")
        time.sleep(FREEZE_S)
        processes.thaw("m3")
        self.site.set_faults(address, shown_revision=None)

    def _stall_connections(self) -> None:
        stalled = sum(relay.stall_connections() for relay in self.site.relays.values())
        self._print_fault(f"{stalled} open connections to m4 and s2 stalled")

    def _print_fault(self, text: str) -> None:
        print(f"  fault: {text}", flush=True)
