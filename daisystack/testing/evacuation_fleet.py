"""Watch which entries of a fleet in passed time hold a zone as evacuated."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from attrs import define, field

from daisystack.runtime.clock import now_s
from daisystack.testing.fleet import (
    EVACUATION_PREFIX,
    EntryFleet,
    SimulatedMachine,
    run_in_passed_time,
)

__all__ = ["CONFIG_BOUND_S", "EVACUATION_KEY", "WatchedFleet", "play_evacuation"]

ZONES = 3
EVACUATED_ZONE = "z1"
EVACUATION_KEY = EVACUATION_PREFIX + EVACUATED_ZONE
# Within which a configuration must be in force; copies are confirmed as often as that needs.
CONFIG_BOUND_S = 3.0
SETTLE_S = 4.0
SAMPLE_INTERVAL_S = 0.05


@define(eq=False)
class WatchedFleet:
    """A fleet, and at which times which of its entries held the zone as evacuated."""

    fleet: EntryFleet
    samples: list[tuple[float, dict[str, bool]]] = field(factory=list)
    # From when the bound of the order, or of its removal, is counted.
    ordered_s: float = 0.0
    # When the store came back from an older copy.
    back_s: float = 0.0

    def start(self) -> None:
        """Start all entries and watch them."""
        self.fleet.start(SETTLE_S)
        eventlet.spawn(self._sample)

    def evacuate(self) -> None:
        """Publish the order."""
        self.fleet.store.write(EVACUATION_KEY, b"{}")
        self.ordered_s = now_s()

    def held_after(self, at_s: float, until_s: float = float("inf")) -> set[bool]:
        """Return what the entries held at any sample after a time."""
        return {
            value
            for sampled_s, held in self.samples
            if at_s < sampled_s < until_s
            for value in held.values()
        }

    def _sample(self) -> None:
        while True:
            machines = [m for m in self.fleet.machines.values() if not m.is_cut_off]
            self.samples.append((now_s(), {m.id: _holds_order(m) for m in machines}))
            eventlet.sleep(SAMPLE_INTERVAL_S)


def _holds_order(machine: SimulatedMachine) -> bool:
    return EVACUATED_ZONE in machine.entry.placement.places.evacuations.zones


def play_evacuation(
    action: Callable[[WatchedFleet], None], size: int, pass_s: float
) -> WatchedFleet:
    """Return a fleet after an action and some time."""

    def run() -> WatchedFleet:
        watched = WatchedFleet(EntryFleet(size, ZONES, CONFIG_BOUND_S))
        watched.start()
        action(watched)
        eventlet.sleep(pass_s)
        return watched

    return run_in_passed_time(run)
