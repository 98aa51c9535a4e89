"""Simulate random interleavings of lost and delayed messages, pauses and restarts.

Only the decisions of daisystack.core run, without a network or processes.
"""

import random
import sys
import unittest

from attrs import define, field

from daisystack.core.idempotency import (
    BeginRefused,
    IdempotencyTable,
    RecordedAnswer,
    Replay,
    Run,
    SealOutcome,
)
from daisystack.core.requests import (
    AttemptOutcome,
    Done,
    GiveUp,
    RequestState,
    RetryElsewhere,
)
from daisystack.core.retries import RetryBudget
from daisystack.core.tickets import mint_ticket
from daisystack.core.verdicts import AttemptEnd, Verdict

INTERLEAVINGS = 2000
STEPS = 120
OWNERS = ("o1", "o2", "o3")
LIFETIME_S = 40.0


class IncarnationBlindTable(IdempotencyTable):
    """Accepts tickets of earlier incarnations, as a table that ignores incarnations would."""

    def _rejection_reason(self, ticket, uptime_s):
        reason = super()._rejection_reason(ticket, uptime_s)
        return None if reason and "earlier life" in reason else reason


class NoSealTable(IdempotencyTable):
    """Reports "not run" without ensuring that the ticket never runs later."""

    def seal(self, ticket, uptime_s):
        known = self._records.get(ticket)
        return super().seal(ticket, uptime_s) if known else SealOutcome(None, True)


class ExpiryBlindTable(IdempotencyTable):
    """Drops expired tickets but runs them again."""

    def _rejection_reason(self, ticket, uptime_s):
        reason = super()._rejection_reason(ticket, uptime_s)
        return None if reason == "ticket has expired" else reason


@define(eq=False)
class OwnerProcess:
    """One incarnation of an owner, which may be paused or dead while messages are in transit."""

    table: IdempotencyTable
    started_s: float
    is_dead: bool = False
    is_full: bool = False


@define(eq=False)
class Action:
    """Work that must run at most once, with the verdicts given on it and how often it ran."""

    ticket: object | None
    verdicts: list = field(factory=list)
    runs: int = 0


@define(eq=False)
class Attempt:
    action: Action
    state: RequestState
    ticket: object
    process: OwnerProcess
    is_open: bool = True


class Simulation:
    def __init__(self, seed, table_kind):
        self.draw = random.Random(seed)
        self.table_kind = table_kind
        self.now_s = 100.0
        self.processes = []
        self.current = {}
        self.actions = []
        self.messages = []
        self.budget = RetryBudget(ratio=1.0)
        for name in OWNERS:
            self.restart(name)

    def restart(self, name):
        """Start a new process; the old one may stay paused and resume late."""
        old = self.current.get(name)
        if old is not None and self.draw.random() < 0.7:
            old.is_dead = True
        table = self.table_kind(name, f"i{len(self.processes)}", max_records=12)
        self.current[name] = OwnerProcess(table, self.now_s)
        self.processes.append(self.current[name])

    def new_action(self):
        action = Action(self.mint() if self.draw.random() < 0.6 else None)
        self.actions.append(action)
        self.send(action)

    def mint(self, name=None):
        # Heartbeats are delayed, so a ticket may name an incarnation that has ended.
        names = [
            process for process in self.processes if name is None or process.table.owner == name
        ]
        process = self.draw.choice(names[-6:])
        uptime_s = max(0.0, self.now_s - process.started_s - self.draw.uniform(0, 5))
        nonce = f"n{self.draw.randrange(10**9)}"
        owner, incarnation = process.table.owner, process.table.incarnation
        return mint_ticket(owner, incarnation, uptime_s, LIFETIME_S, nonce)

    def send(self, action):
        """Send through some entry, which knows nothing of what was sent through others."""
        state = RequestState(False, self.now_s + 20, action.ticket)
        self.attempt(action, state, action.ticket or self.mint())

    def attempt(self, action, state, ticket):
        process = self.current[ticket.owner]
        attempt = Attempt(action, state, ticket, process)
        if process.is_dead or self.draw.random() < 0.05:
            self.handle_end(attempt, AttemptOutcome(AttemptEnd.CONNECT_FAILED, ticket.owner))
        else:
            self.messages.append(("arrive", attempt))

    def handle_end(self, attempt, outcome):
        if not attempt.is_open:
            return
        attempt.is_open = False
        step = attempt.state.next_step(outcome, self.budget, self.now_s)
        if isinstance(step, Done):
            attempt.action.verdicts.append(Verdict.RAN)
        elif isinstance(step, GiveUp):
            attempt.action.verdicts.append(step.verdict)
        else:
            elsewhere = isinstance(step, RetryElsewhere)
            ticket = self.mint() if elsewhere else attempt.ticket
            self.attempt(attempt.action, attempt.state, ticket)

    def arrive(self, attempt):
        process, ticket = attempt.process, attempt.ticket
        uptime_s = self.now_s - process.started_s
        if self.draw.random() < 0.15:
            result = process.table.refuse(ticket, "gate closed", uptime_s)
        else:
            result = process.table.begin(ticket, "body", uptime_s)
        if isinstance(result, Run):
            self.messages.append(("run", attempt))
        elif isinstance(result, Replay):
            self.messages.append(("reply", (attempt, answered(ticket))))
        elif isinstance(result, BeginRefused):
            self.messages.append(("reply", (attempt, refused(ticket, result))))

    def run(self, attempt):
        """Reach the service; the bytes arrive even if the agent has died by now."""
        table, ticket = attempt.process.table, attempt.ticket
        chance = self.draw.random()
        if chance < 0.1:
            table.finish_not_run(ticket)
            outcome = AttemptOutcome(AttemptEnd.CONNECT_FAILED, ticket.owner, True, Verdict.NOT_RUN)
        elif chance < 0.25:
            attempt.action.runs += self.draw.random() < 0.5
            table.finish_unknown(ticket)
            outcome = AttemptOutcome(
                AttemptEnd.NO_ANSWER, ticket.owner, False, Verdict.MAY_HAVE_RUN
            )
        else:
            attempt.action.runs += 1
            table.finish(ticket, RecordedAnswer(200, "text/plain", b"done"))
            outcome = answered(ticket)
        self.messages.append(("reply", (attempt, outcome)))

    def step(self):
        self.now_s += self.draw.uniform(0, 1.5)
        choice = self.draw.random()
        if choice < 0.12:
            self.new_action()
        elif choice < 0.22 and self.actions:
            action = self.draw.choice(self.actions)
            if action.ticket is not None:
                self.send(action)
        elif choice < 0.27:
            self.restart(self.draw.choice(OWNERS))
        elif choice < 0.35 and self.messages:
            self.lose(self.messages[self.draw.randrange(len(self.messages))])
        elif self.messages:
            self.deliver(self.draw.randrange(len(self.messages)))

    def lose(self, message):
        """Let an entry stop waiting for an answer while its message stays in transit."""
        kind, content = message
        attempt = content[0] if kind == "reply" else content
        self.handle_end(attempt, AttemptOutcome(AttemptEnd.NO_ANSWER, attempt.ticket.owner))

    def deliver(self, index):
        kind, content = self.messages.pop(index)
        if kind == "arrive":
            if content.process.is_dead:
                self.handle_end(content, AttemptOutcome(AttemptEnd.NO_ANSWER, content.ticket.owner))
            else:
                self.arrive(content)
        elif kind == "run":
            self.run(content)
        else:
            attempt, outcome = content
            self.handle_end(attempt, outcome)

    def settle(self):
        while self.messages:
            self.deliver(self.draw.randrange(len(self.messages)))

    def violations(self):
        violations = []
        for action in self.actions:
            if action.runs > 1:
                violations.append("ran twice")
            if Verdict.NOT_RUN in action.verdicts and action.runs:
                violations.append("reported not run but ran")
            if Verdict.RAN in action.verdicts and not action.runs:
                violations.append("reported ran but did not run")
        return violations


def answered(ticket):
    return AttemptOutcome(AttemptEnd.ANSWERED, ticket.owner)


def refused(ticket, result):
    end = AttemptEnd.OUTCOME_LOST
    if result.verdict is Verdict.NOT_RUN:
        end = AttemptEnd.REFUSED_AT_GATE
    elif result.is_running:
        end = AttemptEnd.STILL_RUNNING
    return AttemptOutcome(end, ticket.owner, result.sealed, result.verdict)


def explore(table_kind, count):
    violations, runs, verdicts = [], 0, {verdict: 0 for verdict in Verdict}
    for seed in range(count):
        simulation = Simulation(seed, table_kind)
        for _ in range(STEPS):
            simulation.step()
        simulation.settle()
        violations += [(seed, violation) for violation in simulation.violations()]
        runs += sum(action.runs for action in simulation.actions)
        for action in simulation.actions:
            for verdict in action.verdicts:
                verdicts[verdict] += 1
    return violations, runs, verdicts


class TestAtMostOnce(unittest.TestCase):
    def test_no_interleaving_runs_a_ticket_twice_or_contradicts_its_verdict(self):
        violations, runs, verdicts = explore(IdempotencyTable, INTERLEAVINGS)
        self.assertEqual(violations, [])
        # The exploration is meaningful only if every verdict was given often.
        self.assertGreater(runs, INTERLEAVINGS)
        self.assertGreater(min(verdicts.values()), INTERLEAVINGS)

    def test_the_exploration_detects_tables_that_lack_a_safeguard(self):
        for kind in (IncarnationBlindTable, NoSealTable, ExpiryBlindTable):
            with self.subTest(kind=kind.__name__):
                self.assertTrue(explore(kind, 300)[0])


if __name__ == "__main__":
    count = int(sys.argv[1])
    for kind in (IdempotencyTable, IncarnationBlindTable, NoSealTable, ExpiryBlindTable):
        violations, runs, verdicts = explore(kind, count)
        given = {verdict.value: count for verdict, count in verdicts.items()}
        print(f"{kind.__name__}: {count} interleavings, {runs} runs, {given}")
        print(f"  broken in {len({seed for seed, _ in violations})}, first {violations[:2]}")
