"""Queue requests that wait for an upstream, by priority and fair share, and shed the excess."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from attrs import define, field, frozen

__all__ = ["AdmissionQueue", "CompletionRate", "WaitingRequest", "WorkspaceLimits"]

# Every n-th dispatch ignores priorities, so that no workspace starves.
EQUAL_PRIORITY_INTERVAL = 8
RATE_WINDOW_S = 5.0
MIN_RATE_AGE_S = 0.5


@frozen
class WorkspaceLimits:
    """Priority of a workspace (higher is dispatched first) and its fair share."""

    name: str
    priority: int
    share: float


@define(eq=False)
class WaitingRequest:
    """A request that waits for an upstream until it expires."""

    workspace: WorkspaceLimits
    expires_s: float


@define
class CompletionRate:
    """Measure how many requests per second the upstreams finish."""

    _ends_s: deque[float] = field(factory=deque)
    _first_end_s: float | None = None

    def record_end(self, now_s: float) -> None:
        """Count a finished request."""
        if self._first_end_s is None:
            self._first_end_s = now_s
        self._ends_s.append(now_s)

    def per_s(self, now_s: float) -> float | None:
        """Return the rate over the window; None before MIN_RATE_AGE_S of measurements."""
        while self._ends_s and self._ends_s[0] < now_s - RATE_WINDOW_S:
            self._ends_s.popleft()
        if self._first_end_s is None or now_s - self._first_end_s < MIN_RATE_AGE_S:
            return None
        return len(self._ends_s) / min(RATE_WINDOW_S, now_s - self._first_end_s)


@define
class _WorkspaceQueue:
    limits: WorkspaceLimits
    used: float = 0.0
    waiting: deque[WaitingRequest] = field(factory=deque)


@define
class AdmissionQueue:
    """Bounded queue of requests, ordered by priority and then by fair share."""

    max_waiting: int
    rate: CompletionRate = field(factory=CompletionRate)
    _queues: dict[str, _WorkspaceQueue] = field(factory=dict)
    _size: int = 0
    _dispatch_count: int = 0

    def __len__(self) -> int:
        return self._size

    def expected_wait_s(self, priority: int, now_s: float) -> float:
        """Estimate the wait of a new request in seconds from those dispatched before it."""
        rate = self.rate.per_s(now_s)
        if rate is None:
            return 0.0
        ahead = sum(
            len(queue.waiting)
            for queue in self._queues.values()
            if queue.limits.priority >= priority
        )
        return (ahead + 1) / rate if rate else float("inf")

    def enqueue(self, newcomer: WaitingRequest) -> WaitingRequest | None:
        """Queue a request and return the one that is shed: None, another request, or itself."""
        shed = None
        if self._size >= self.max_waiting:
            shed = self._least_entitled(newcomer)
            if shed is newcomer:
                return newcomer
            self.remove(shed)
        queue = self._queue_of(newcomer.workspace)
        if not queue.waiting:
            self._catch_up(queue)
        queue.waiting.append(newcomer)
        self._size += 1
        return shed

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request from the queue."""
        self._queues[waiting.workspace.name].waiting.remove(waiting)
        self._size -= 1

    def next_candidates(self) -> list[WaitingRequest]:
        """Return the first request of each workspace, in the order of dispatch."""
        nonempty = [queue for queue in self._queues.values() if queue.waiting]
        ignores_priority = (self._dispatch_count + 1) % EQUAL_PRIORITY_INTERVAL == 0

        def entitlement(queue: _WorkspaceQueue) -> tuple[int, float, str]:
            priority = 0 if ignores_priority else -queue.limits.priority
            return (priority, queue.used, queue.limits.name)

        return [queue.waiting[0] for queue in sorted(nonempty, key=entitlement)]

    def dispatch(self, waiting: WaitingRequest) -> None:
        """Remove a request that is dispatched now and charge its workspace."""
        self._dispatch_count += 1
        self.remove(waiting)
        self.charge(waiting.workspace)

    def charge(self, limits: WorkspaceLimits) -> None:
        """Charge a dispatched request to its workspace's share."""
        queue = self._queue_of(limits)
        if not queue.waiting:
            self._catch_up(queue)
        queue.used += 1.0 / limits.share

    def remove_expired(self, now_s: float) -> Iterator[WaitingRequest]:
        """Remove and yield the requests whose wait has expired."""
        for queue in self._queues.values():
            expired = [waiting for waiting in queue.waiting if waiting.expires_s <= now_s]
            for waiting in expired:
                self.remove(waiting)
                yield waiting

    def _queue_of(self, limits: WorkspaceLimits) -> _WorkspaceQueue:
        queue = self._queues.get(limits.name)
        if queue is None:
            queue = self._queues[limits.name] = _WorkspaceQueue(limits)
            self._catch_up(queue)
        queue.limits = limits
        return queue

    def _catch_up(self, queue: _WorkspaceQueue) -> None:
        # A workspace accumulates no credit while it is idle.
        usages = [other.used for other in self._queues.values() if other.waiting]
        queue.used = max(queue.used, min(usages, default=queue.used))

    def _least_entitled(self, newcomer: WaitingRequest) -> WaitingRequest:
        """Return the newest request of the workspace with the most waiting per share.

        Only the workspaces of the lowest priority are considered.
        """
        queues = [queue for queue in self._queues.values() if queue.waiting]
        own = newcomer.workspace

        def demand(queue: _WorkspaceQueue) -> tuple[float, float]:
            extra = 1 if queue.limits.name == own.name else 0
            return (-queue.limits.priority, (len(queue.waiting) + extra) / queue.limits.share)

        if all(queue.limits.name != own.name for queue in queues):
            queues.append(_WorkspaceQueue(own, waiting=deque([newcomer])))
        worst = max(queues, key=demand)
        if worst.limits.name == own.name:
            return newcomer
        return worst.waiting[-1]
