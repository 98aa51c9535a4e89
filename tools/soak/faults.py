"""Inject the faults of a plan into a running site and record when each began and ended."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable

import eventlet
from attrs import define, field

from daisystack.tests.on_platform.soak_site import SoakSite
from tools.relay import TO_CALLER, TO_TARGET
from tools.soak.plan import Fault
from tools.soak.records import History, Life, Publication

__all__ = ["Injector"]

DELAY_S = 0.15
# An entry whose grace has passed is killed by the platform.
KILL_AFTER_GRACE_S = 1.0
RESTART_S = 0.5
# Time until what a drill lost is published again.
REPUBLISH_S = 1.0
VERSION_PAUSE_S = (0.1, 1.0)
MAX_VERSIONS = 3
STOP_POLL_S = 0.05
LEAVE_TIMEOUT_S = 20.0
# Longer than the time from which a limit is kept.
LIMIT_S = 6.0
LIMITS = ("0.5", "1", "1.5")
HELD_BY_KIND = {
    "cut_to_target": frozenset({TO_TARGET}),
    "cut_to_caller": frozenset({TO_CALLER}),
    "silence": frozenset({TO_TARGET, TO_CALLER}),
}


@define(eq=False)
class Injector:
    """Carry out faults, several at a time but only one at each target."""

    site: SoakSite
    history: History
    seed: int
    counts: dict[str, int] = field(factory=dict)
    _busy: set[str] = field(factory=set)
    _threads: list[eventlet.greenthread.GreenThread] = field(factory=list)
    _rng: random.Random = field(init=False)
    _upstream_starts: int = 0

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(f"{self.seed}/injector")

    def record_start(self) -> None:
        """Record the first life of every entry and the first published versions."""
        now_s = time.monotonic()
        self.history.configs.append(Publication(now_s, 1, now_s))
        self.history.weights.append(Publication(now_s, 1, now_s))
        for index in range(self.site.entries):
            self.history.lives.append(Life(index, 0, now_s))

    def play(self, faults: list[Fault]) -> None:
        """Begin each fault at its time, and wait until all have ended."""
        started_s = time.monotonic()
        for fault in faults:
            time.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
            self._threads.append(eventlet.spawn(self.inject, fault))
        for thread in self._threads:
            thread.wait()

    def inject(self, fault: Fault) -> None:
        """Carry out one fault, unless another one is in progress at its target."""
        if fault.target in self._busy:
            return
        self._busy.add(fault.target)
        print(f"  {time.monotonic():.2f} {fault.kind} {fault.target}", flush=True)
        self.counts[fault.kind] = self.counts.get(fault.kind, 0) + 1
        try:
            self._action(fault)(fault)
        finally:
            self._busy.discard(fault.target)

    def _action(self, fault: Fault) -> Callable[[Fault], None]:
        if fault.target in self.site.relays:
            return self._reset_link if fault.kind == "reset" else self._disturb_link
        by_kind = {
            "kill": self._kill,
            "freeze": self._freeze,
            "terminate": self._terminate,
            "hang_up": self._hang_up,
            "leave": self._leave,
            "limit": self._limit,
            "configs": self._publish_configs,
            "weights": self._publish_weights,
            "drill": self._drill,
        }
        return by_kind[fault.kind]

    def _disturb_link(self, fault: Fault) -> None:
        relay = self.site.relays[fault.target]
        disruption = self.history.begin(fault.target, fault.kind)
        relay.delay_s = DELAY_S if fault.kind == "delay" else 0.0
        relay.held = HELD_BY_KIND.get(fault.kind, frozenset())
        time.sleep(fault.duration_s)
        relay.delay_s, relay.held = 0.0, frozenset()
        disruption.end_s = time.monotonic()

    def _reset_link(self, fault: Fault) -> None:
        disruption = self.history.begin(fault.target, fault.kind)
        self.site.relays[fault.target].reset_connections()
        disruption.end_s = time.monotonic()

    def _freeze(self, fault: Fault) -> None:
        disruption = self.history.begin(fault.target, fault.kind)
        self.site.processes.freeze(fault.target)
        time.sleep(fault.duration_s)
        self.site.processes.thaw(fault.target)
        disruption.end_s = time.monotonic()

    def _kill(self, fault: Fault) -> None:
        disruption = self.history.begin(fault.target, fault.kind)
        self.site.processes.kill(fault.target)
        self._record_end(fault.target)
        time.sleep(fault.duration_s)
        self._start(fault.target)
        self._wait_until_ready(fault.target)
        disruption.end_s = time.monotonic()

    def _terminate(self, fault: Fault) -> None:
        """Stop a program gracefully, kill it after its grace, and start it again."""
        process = self.site.processes.by_name[fault.target]
        disruption = self.history.begin(fault.target, "terminate")
        if fault.target.startswith("entry"):
            self._life(fault.target).stop_s = time.monotonic()
        process.signal(signal.SIGTERM)
        ends_s = time.monotonic() + self.site.bounds.grace_s + KILL_AFTER_GRACE_S
        while process.is_running() and time.monotonic() < ends_s:
            time.sleep(STOP_POLL_S)
        process.signal(signal.SIGKILL)
        self._record_end(fault.target)
        time.sleep(RESTART_S)
        self._start(fault.target)
        self._wait_until_ready(fault.target)
        disruption.end_s = time.monotonic()

    def _hang_up(self, fault: Fault) -> None:
        self.site.hang_up(fault.target)
        self.site.processes.by_name[fault.target].signal(signal.SIGHUP)

    def _leave(self, fault: Fault) -> None:
        """Let an upstream announce that it leaves; it starts again after it has ended."""
        self.site.tell_to_leave(fault.target)
        process = self.site.processes.by_name[fault.target]
        ends_s = time.monotonic() + LEAVE_TIMEOUT_S
        while process.is_running() and time.monotonic() < ends_s:
            time.sleep(STOP_POLL_S)
        disruption = self.history.begin(fault.target, "restart")
        self.site.processes.kill(fault.target)
        time.sleep(fault.duration_s)
        self._start(fault.target)
        disruption.end_s = time.monotonic()

    def _limit(self, fault: Fault) -> None:
        """Let an upstream name a limit for a while."""
        self.site.name_limit(fault.target, self._rng.choice(LIMITS))
        time.sleep(LIMIT_S + fault.duration_s)
        self.site.name_limit(fault.target, "")

    def _publish_configs(self, fault: Fault) -> None:
        for _ in range(self._rng.randint(1, MAX_VERSIONS)):
            self.publish_config()
            time.sleep(self._rng.uniform(*VERSION_PAUSE_S))

    def _publish_weights(self, fault: Fault) -> None:
        for _ in range(self._rng.randint(1, MAX_VERSIONS)):
            self.publish_weights()
            time.sleep(self._rng.uniform(*VERSION_PAUSE_S))

    def publish_config(self) -> None:
        """Publish the next configuration and record when it was acknowledged."""
        self._publish(self.history.configs, self.site.publish_config)

    def publish_weights(self) -> None:
        """Name the next version of the weights and record when it was acknowledged."""
        self._publish(self.history.weights, self.site.publish_weights)

    def _publish(self, publications: list[Publication], publish: Callable[[int], bool]) -> None:
        version = 1 + max(p.version for p in publications)
        sent_s = time.monotonic()
        while not publish(version):
            time.sleep(STOP_POLL_S)
        publications.append(Publication(time.monotonic(), version, sent_s))

    def _drill(self, fault: Fault) -> None:
        """Let the store come back from a copy that lacks the latest versions."""
        kept = [max(p.version for p in x) for x in (self.history.configs, self.history.weights)]
        self.site.drill("keep")
        self.publish_config()
        if self._rng.random() < 0.5:
            self.publish_weights()
        time.sleep(fault.duration_s)
        disruption = self.history.begin("store", "drill")
        restored_s = time.monotonic()
        self.site.drill("restore")
        for publications, version in zip(
            (self.history.configs, self.history.weights), kept, strict=True
        ):
            publications.append(Publication(restored_s, version, restored_s))
        time.sleep(REPUBLISH_S)
        self.publish_config()
        self.publish_weights()
        disruption.end_s = time.monotonic()

    def _start(self, name: str) -> None:
        kind, _, number = name.partition("-")
        if kind == "entry":
            life = Life(int(number), self.history.life(int(number)) + 1, time.monotonic())
            self.history.lives.append(life)
            self.site.start_entry(int(number))
        elif kind == "agent":
            self.site.start_agent(int(number))
        else:
            self._upstream_starts += 1
            has_new_id = self._rng.random() < 0.5
            self.site.start_upstream(
                name, f"{name}.{self._upstream_starts}" if has_new_id else name
            )

    def _wait_until_ready(self, name: str) -> None:
        kind, _, number = name.partition("-")
        if kind != "entry":
            return
        while not self.site.is_ready(int(number)):
            if not self.site.processes.by_name[name].is_running():
                return
            time.sleep(STOP_POLL_S)

    def _life(self, name: str) -> Life:
        entry = int(name.partition("-")[2])
        return self.history.find_life(entry, self.history.life(entry))

    def _record_end(self, name: str) -> None:
        status = self.site.processes.by_name[name].wait()
        if name.startswith("entry"):
            life = self._life(name)
            life.ended_s, life.status = time.monotonic(), status
