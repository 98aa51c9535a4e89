"""Detect stalled connections by querying the ticket's owner over a new connection."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from attrs import define, field
from eventlet import hubs

from daisystack.core.idempotency import RecordState
from daisystack.core.tickets import Ticket
from daisystack.core.verdicts import AttemptEnd
from daisystack.runtime.peer_link import PeerError, PeerLink
from daisystack.runtime.upstream_http import AttemptFailed
from daisystack.wire.gen import ttypes

__all__ = ["StallDetector", "TicketState", "query_ticket_state"]

FIRST_PROBE_S = 1.0
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
# Failed probes in a row before giving up, by whether the request is repeatable: a repeatable
# request need not wait for an upstream that may recover.
MAX_FAILED_PROBES = {True: 1, False: 3}

_LOST_OUTCOMES = {
    # The request never arrived, and the seal keeps it from running later.
    RecordState.SEALED: (AttemptEnd.NEVER_ARRIVED, "connection lost the request"),
    # The request ran, so the answer was sent and then lost by the connection.
    RecordState.FINISHED: (AttemptEnd.NO_ANSWER, "connection lost the answer"),
    RecordState.UNKNOWN: (AttemptEnd.NO_ANSWER, "the upstream lost the outcome"),
}


@define
class TicketState:
    """Hold the state of a ticket as its owner reports it over a new connection."""

    state: RecordState
    crashed: bool


def query_ticket_state(peer_address: str, ticket: Ticket) -> TicketState | None:
    """Query a ticket's owner, which seals it if it never arrived; None if the query fails."""
    link = PeerLink(peer_address, PROBE_TIMEOUT_S)
    try:
        answer = link.call("seal", ttypes.SealAsk(str(ticket)))
        return TicketState(RecordState(answer.state), bool(answer.crashed))
    except (PeerError, ValueError):
        return None
    finally:
        link.close()


@define(eq=False)
class StallDetector:
    """Context manager that aborts a wait for an answer which can no longer arrive."""

    peer_address: str
    ticket: Ticket
    # Set for repeatable requests only; returns whether the upstream has long answered no request.
    is_stuck: Callable[[], bool] | None = None
    _waiter: object = field(init=False)
    _thread: eventlet.greenthread.GreenThread = field(init=False)
    _is_done: bool = False

    def __enter__(self) -> StallDetector:
        self._waiter = eventlet.getcurrent()
        self._thread = eventlet.spawn_after(FIRST_PROBE_S, self._run)
        return self

    def __exit__(self, *_: object) -> None:
        self._is_done = True
        self._thread.cancel()

    def _run(self) -> None:
        failed_probes = 0
        while not self._is_done:
            ticket_state = query_ticket_state(self.peer_address, self.ticket)
            failed_probes = failed_probes + 1 if ticket_state is None else 0
            if ticket_state is not None and ticket_state.state in _LOST_OUTCOMES:
                self._give_up(*_LOST_OUTCOMES[ticket_state.state])
                return
            if self.is_stuck is not None and self.is_stuck():
                self._give_up(AttemptEnd.NO_ANSWER, "upstream answers nobody")
                return
            if failed_probes >= MAX_FAILED_PROBES[self.is_stuck is not None]:
                self._give_up(AttemptEnd.NO_ANSWER, "upstream does not answer on any connection")
                return
            eventlet.sleep(PROBE_INTERVAL_S)

    def _give_up(self, end: AttemptEnd, reason: str) -> None:
        hubs.get_hub().schedule_call_global(0, self._throw, AttemptFailed(end, reason))

    def _throw(self, failure: AttemptFailed) -> None:
        # The answer may have arrived after the decision and before this call.
        if not self._is_done:
            self._waiter.throw(failure)
