"""A machine stands still between the check of staged pieces and the order to load them."""

import json
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from standins import (  # noqa: E402
    MODEL,
    PIECE_COUNT,
    CouldNotRun,
    ModelRunner,
    Origin,
    build_engine_config,
    build_piece,
    has_trouble,
    run_case,
    send_draft,
)

ENTRY, AGENTS = 2, tuple(range(3, 12))
# One of nine machines, a share of 0.11, stands still; one of 64 pieces of its runner turns bad.
FROZEN = AGENTS[0]
FREEZE_S = 4.0
# The piece turns bad so much after the machine stands still.
ROT_AFTER_S = 0.2
ROTTEN_PIECE = 5
# The machine stands still once the last check before the order has come to this piece.
LAST_READ = 40
# One freeze for each. One that comes while the agent waits for an answer makes it check again.
VERSIONS = range(2, 7)
# No further version is named after this time, so that the script ends in time.
LAST_TRY_S = 85.0
# The agent runs within this time of an answer.
RUNS_WITHIN_S = 0.02
# The check before the order follows the one that ends the staging this soon.
NEXT_CHECK_S = 0.05
# "not if it had turned bad there in the last 3 s"
EXCUSED_S = 3.0


class FreezingRunner(ModelRunner):
    """Stands still with its machine while the agent checks the staged pieces for the last time.

    It has a process of its own, so that the stop comes while the agent takes in an answer.
    """

    agent_pid = 0
    is_last_check = False
    check_ended_s = 0.0
    frozen_at: frozenset[int] = frozenset()

    def get_piece(self, request, index):
        at_s = time.monotonic()
        if index == 0:
            wanted = self.version + 1
            right = (self.staged.get(i) == build_piece(wanted, i) for i in range(PIECE_COUNT))
            self.is_last_check = at_s - self.check_ended_s < NEXT_CHECK_S and all(right)
        elif index == PIECE_COUNT - 1:
            self.check_ended_s = at_s
        wanted = self.version + 1
        if self.is_last_check and index == LAST_READ and wanted not in self.frozen_at:
            self.frozen_at |= {wanted}
            request.after_answer = self.stand_still
        return super().get_piece(request, index)

    def stand_still(self):
        if not has_trouble():
            return
        until_s = time.monotonic() + RUNS_WITHIN_S
        while not _is_running(self.agent_pid) and time.monotonic() < until_s:
            pass
        os.kill(self.agent_pid, signal.SIGSTOP)
        self.site.record.write("stopped  the agent of this runner's machine")
        time.sleep(ROT_AFTER_S)
        self.spoil(ROTTEN_PIECE)
        time.sleep(FREEZE_S - ROT_AFTER_S)
        os.kill(self.agent_pid, signal.SIGCONT)
        self.site.record.write("goes on  the agent of this runner's machine")


def _is_running(pid):
    """Return whether a process is at work, and not waiting."""
    state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    return state == "R"


class Parent:
    """Record and store of the script, for a runner in a process of its own."""

    def __init__(self):
        self.record = self.store = self
        self._lock = threading.Lock()

    def write(self, text):
        self._send({"record": text})

    def put(self, key, value):
        self._send({"key": key, "value": value})

    def _send(self, message):
        with self._lock:
            print(json.dumps(message), flush=True)


class RunnerProcess:
    """The runner that stands still, as a process."""

    def __init__(self, site, host):
        self.site = site
        self.runs, self.loaded_spoilt, self.address, self.version = [], {}, "", 1
        command = [sys.executable, __file__, "runner", f"i-llm-{FROZEN}", host]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        site.processes["runner"] = self.process
        threading.Thread(target=self._read, daemon=True).start()
        site.wait_for("runner", lambda: self.address)

    def begin(self, agent_pid):
        self.process.stdin.write(f"{agent_pid}\n")
        self.process.stdin.flush()

    def _read(self):
        for line in self.process.stdout:
            message = json.loads(line)
            if "record" in message:
                self.site.record.write(message["record"])
            elif "key" in message:
                self.address = message["value"]["address"]
                models = message["value"]["models"]
                self.version = models[0]["version"] if models else 0
                self.site.store.put(message["key"], message["value"])
            else:
                self.runs, self.loaded_spoilt = message["runs"], message["spoilt"]


def run_runner(runner_id, host):
    """Run the runner until its input ends; its first line is the process id of the agent."""
    runner = FreezingRunner(Parent(), runner_id, host)
    runner.agent_pid = int(sys.stdin.readline())
    while True:
        time.sleep(0.1)
        print(json.dumps({"runs": runner.runs, "spoilt": runner.loaded_spoilt}), flush=True)


def case(site):
    origin = Origin(site, site.host(30))
    site.store.put("op/config", build_engine_config(1, origin))
    site.start("entry", ENTRY)
    runners = {}
    for number in AGENTS:
        if number == FROZEN:
            runners[number] = RunnerProcess(site, site.host(number))
        else:
            runners[number] = ModelRunner(site, f"i-llm-{number}", site.host(number))
        settings = {"app": runners[number].address, "service": "llm", "limits.link_mbps": "3.8"}
        site.start("agent", number, settings | {"limits.memory_mb": "168"})
    runner = runners[FROZEN]
    runner.begin(site.processes[f"agent-{FROZEN}"].pid)
    site.wait_for("entry ready", lambda: site.is_ready(ENTRY))
    time.sleep(3.0)

    started_s = time.monotonic()
    for version in VERSIONS:
        if time.monotonic() - started_s > LAST_TRY_S:
            break
        site.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})
        site.record.write(f"ack      version {version}")
        site.wait_for("the version", lambda: runner.version == version, 40.0)
        broken = find_broken(site, runner)
        if broken:
            return broken
    return []


def find_broken(site, runner):
    """Let requests come to the runner, and return what its tokens were made with wrongly."""
    time.sleep(1.0)
    known = len(runner.runs)
    for number in range(200):
        send_draft(site, ENTRY, f"draft-{runner.version}-{number}")
        time.sleep(0.02)
        if len(runner.runs) > known:
            break
    time.sleep(0.3)
    if len(runner.runs) == known:
        raise CouldNotRun("no request came to the runner of the machine that stood still")
    return [
        f"WHOLE: {runner.runs[known]} got tokens made with piece {index}, which had been spoilt "
        f"for {seconds:.2f} s when the runner was ordered to load it"
        for index, seconds in runner.loaded_spoilt.items()
        if seconds > EXCUSED_S
    ]


if sys.argv[1:2] == ["runner"]:
    run_runner(*sys.argv[2:])
else:
    run_case(__file__, case)
