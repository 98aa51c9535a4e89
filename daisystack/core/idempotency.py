"""Idempotency table that lets each ticket run at most once on the upstream that owns it."""

from __future__ import annotations

import enum
import heapq

from attrs import define, field, frozen

from daisystack.core.tickets import MAX_TICKET_LIFETIME_S, Ticket
from daisystack.core.verdicts import Verdict

__all__ = [
    "BeginResult",
    "BeginRefused",
    "IdempotencyTable",
    "RecordState",
    "RecordedAnswer",
    "Replay",
    "Run",
    "SealOutcome",
]


class RecordState(enum.Enum):
    """State of a ticket on its owner."""

    SEALED = "sealed"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@frozen
class RecordedAnswer:
    """A complete answer, kept so that a resent request gets the same one."""

    status: int
    content_type: str
    body: bytes


@frozen
class Run:
    """Permission for the only run of a ticket."""

    ticket: Ticket


@frozen
class Replay:
    """Answer of a finished run; None if it was not kept."""

    answer: RecordedAnswer | None


@frozen
class BeginRefused:
    """Refusal to run; the verdict covers this attempt, and the whole ticket if it is sealed."""

    verdict: Verdict
    sealed: bool
    reason: str
    is_running: bool = False


@frozen
class SealOutcome:
    """State of a ticket after an attempt to seal it."""

    state: RecordState
    sealed: bool


BeginResult = Run | Replay | BeginRefused


@define
class _Record:
    state: RecordState
    body_digest: str
    answer: RecordedAnswer | None = None
    answer_bytes: int = 0


@define
class IdempotencyTable:
    """Records of every ticket of this incarnation until it expires.

    A full table refuses new tickets and never drops a record early. A part of its capacity is
    reserved for seals, because "not run" may be reported only if the ticket can never run later.
    """

    owner: str
    incarnation: str
    max_records: int = 20_000
    max_answer_bytes: int = 8_000_000
    max_one_answer_bytes: int = 65_536
    seal_reserve: float = 0.2
    answer_bytes: int = 0
    _records: dict[Ticket, _Record] = field(factory=dict)
    _expiries: list[tuple[int, str, Ticket]] = field(factory=list)

    def __len__(self) -> int:
        return len(self._records)

    def begin(self, ticket: Ticket, body_digest: str, uptime_s: float) -> BeginResult:
        """Decide whether a ticket may run now; only the first call for a ticket returns Run."""
        self._drop_expired(uptime_s)
        record = self._records.get(ticket)
        if record is not None:
            return self._begin_known(record, body_digest)
        reason = self._rejection_reason(ticket, uptime_s)
        if reason is not None:
            return BeginRefused(Verdict.NOT_RUN, False, reason)
        if len(self._records) >= self.max_records * (1 - self.seal_reserve):
            return self.refuse(ticket, "idempotency table full", uptime_s)
        self._add(ticket, _Record(RecordState.RUNNING, body_digest))
        return Run(ticket)

    def refuse(self, ticket: Ticket, reason: str, uptime_s: float) -> BeginRefused:
        """Refuse an attempt, and seal its ticket if it never ran and the table has capacity."""
        outcome = self.seal(ticket, uptime_s)
        if outcome.sealed or ticket not in self._records:
            return BeginRefused(Verdict.NOT_RUN, outcome.sealed, reason)
        verdict = Verdict.RAN if outcome.state is RecordState.FINISHED else Verdict.MAY_HAVE_RUN
        return BeginRefused(verdict, False, reason)

    def seal(self, ticket: Ticket, uptime_s: float) -> SealOutcome:
        """Seal a ticket that has not run, so that it never will."""
        self._drop_expired(uptime_s)
        record = self._records.get(ticket)
        if record is not None:
            return SealOutcome(record.state, record.state is RecordState.SEALED)
        if (
            self._rejection_reason(ticket, uptime_s) is not None
            or len(self._records) >= self.max_records
        ):
            return SealOutcome(RecordState.UNKNOWN, False)
        self._add(ticket, _Record(RecordState.SEALED, ""))
        return SealOutcome(RecordState.SEALED, True)

    def finish(self, ticket: Ticket, answer: RecordedAnswer | None) -> None:
        """Record a run with its answer, or without one if it is absent or exceeds a limit."""
        record = self._records[ticket]
        record.state = RecordState.FINISHED
        if answer is None:
            return
        size_bytes = len(answer.body)
        fits = self.answer_bytes + size_bytes <= self.max_answer_bytes
        if size_bytes <= self.max_one_answer_bytes and fits:
            record.answer = answer
            record.answer_bytes = size_bytes
            self.answer_bytes += size_bytes

    def finish_unknown(self, ticket: Ticket) -> None:
        """Record that a run started and its outcome is lost."""
        self._records[ticket].state = RecordState.UNKNOWN

    def finish_not_run(self, ticket: Ticket) -> None:
        """Seal a ticket whose run ended before any byte reached the upstream."""
        self._records[ticket].state = RecordState.SEALED

    def _begin_known(self, record: _Record, body_digest: str) -> BeginResult:
        if record.state is RecordState.SEALED:
            return BeginRefused(Verdict.NOT_RUN, True, "refused before")
        if record.body_digest != body_digest:
            return BeginRefused(Verdict.MAY_HAVE_RUN, False, "same ticket with another body")
        if record.state is RecordState.FINISHED:
            return Replay(record.answer)
        if record.state is RecordState.RUNNING:
            return BeginRefused(Verdict.MAY_HAVE_RUN, False, "still running", is_running=True)
        return BeginRefused(Verdict.MAY_HAVE_RUN, False, "outcome of the run is lost")

    def _rejection_reason(self, ticket: Ticket, uptime_s: float) -> str | None:
        if ticket.owner != self.owner:
            return "ticket belongs to another owner"
        if ticket.incarnation != self.incarnation:
            return "ticket belongs to an earlier life of its owner"
        if uptime_s >= ticket.expires_uptime_s:
            return "ticket has expired"
        if ticket.expires_uptime_s > uptime_s + MAX_TICKET_LIFETIME_S:
            return "ticket expires too late"
        return None

    def _add(self, ticket: Ticket, record: _Record) -> None:
        self._records[ticket] = record
        heapq.heappush(self._expiries, (ticket.expires_uptime_ms, str(ticket), ticket))

    def _drop_expired(self, uptime_s: float) -> None:
        while self._expiries and self._expiries[0][2].expires_uptime_s <= uptime_s:
            ticket = self._expiries[0][2]
            if self._records[ticket].state is RecordState.RUNNING:
                return
            heapq.heappop(self._expiries)
            self.answer_bytes -= self._records.pop(ticket).answer_bytes
