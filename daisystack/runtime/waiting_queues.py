"""Queue requests until an upstream has free capacity, or shed them at once."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from attrs import define, field
from eventlet.event import Event

from daisystack.core.admission import AdmissionQueue, WaitingRequest, WorkspaceLimits
from daisystack.core.routing import Target
from daisystack.core.verdicts import AttemptEnd
from daisystack.runtime.clock import now_s
from daisystack.runtime.upstreams import UpstreamAssignment

__all__ = ["NotAdmitted", "WaitingQueues"]

ADMIT_INTERVAL_S = 0.05
MAX_RETRY_AFTER_S = 30.0

TryAssign = Callable[[], UpstreamAssignment | None]


class NotAdmitted(Exception):
    """Raised when a request is rejected; states the reason and when to retry."""

    def __init__(self, end: AttemptEnd, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.end = end
        self.reason = reason
        self.retry_after_s = min(MAX_RETRY_AFTER_S, max(1.0, retry_after_s))


@define(eq=False)
class _QueuedRequest:
    waiting: WaitingRequest
    try_assign: TryAssign
    outcome: Event = field(factory=Event)


@define(eq=False)
class WaitingQueues:
    """Hold one admission queue per target."""

    max_waiting: int
    max_wait_s: float
    shed_count: int = 0
    _is_admitting: bool = False
    _queues: dict[Target, AdmissionQueue] = field(factory=dict)
    _requests: dict[WaitingRequest, _QueuedRequest] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._requests)

    def admit(
        self, target: Target, limits: WorkspaceLimits, deadline_s: float, try_assign: TryAssign
    ) -> UpstreamAssignment:
        """Return the upstream assigned at once or after queueing; raise NotAdmitted if rejected."""
        queue = self._queue(target)
        if not len(queue):
            assignment = try_assign()
            if assignment is not None:
                queue.charge(limits)
                return assignment
        at_s = now_s()
        wait_until_s = min(deadline_s, at_s + self.max_wait_s)
        expected_s = queue.expected_wait_s(limits.priority, at_s)
        if at_s + expected_s > wait_until_s:
            raise self._shed(f"expected wait is {expected_s:.1f} s", expected_s)
        return self._wait(queue, _QueuedRequest(WaitingRequest(limits, wait_until_s), try_assign))

    def record_ended(self, target: Target) -> None:
        """Count an ended request and admit waiting ones."""
        self._queue(target).rate.record_end(now_s())
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Reject requests whose wait has expired and admit those that an upstream can take."""
        for queue in self._queues.values():
            for waiting in list(queue.remove_expired(now_s())):
                end = AttemptEnd.DEADLINE_IN_QUEUE
                timeout = NotAdmitted(end, "no upstream had room in time", self.max_wait_s)
                self._resolve(waiting, timeout)
            while self._admit_one(queue):
                pass

    def _admit_one(self, queue: AdmissionQueue) -> bool:
        for waiting in queue.next_candidates():
            assignment = self._requests[waiting].try_assign()
            if assignment is not None:
                queue.dispatch(waiting)
                self._resolve(waiting, assignment)
                return True
        return False

    def _wait(self, queue: AdmissionQueue, request: _QueuedRequest) -> UpstreamAssignment:
        self._requests[request.waiting] = request
        shed = queue.enqueue(request.waiting)
        if shed is not None:
            self._resolve(shed, self._shed("queue is full", self.max_wait_s))
        if not self._is_admitting:
            self._is_admitting = True
            eventlet.spawn(self._admit_periodically)
        outcome = request.outcome.wait()
        if isinstance(outcome, NotAdmitted):
            raise outcome
        return outcome

    def _resolve(self, waiting: WaitingRequest, outcome: UpstreamAssignment | NotAdmitted) -> None:
        self._requests.pop(waiting).outcome.send(outcome)

    def _shed(self, reason: str, retry_after_s: float) -> NotAdmitted:
        self.shed_count += 1
        return NotAdmitted(AttemptEnd.SHED, reason, retry_after_s)

    def _queue(self, target: Target) -> AdmissionQueue:
        if target not in self._queues:
            self._queues[target] = AdmissionQueue(self.max_waiting)
        return self._queues[target]

    def _admit_periodically(self) -> None:
        # Waits must expire in time even if no request ends and no heartbeat arrives.
        while self._requests:
            eventlet.sleep(ADMIT_INTERVAL_S)
            self.admit_waiting()
        self._is_admitting = False
