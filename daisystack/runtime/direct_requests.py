"""Process callers' requests: check, place, send directly to upstreams, retry and respond."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Callable

import attrs
from attrs import define, field

from daisystack.backends import RequestDialect
from daisystack.core.direct_request import DirectRequest, InvalidRequest
from daisystack.core.held_bytes import HeldBytes
from daisystack.core.homes import find_homes
from daisystack.core.mirror import Mirror
from daisystack.core.placement import (
    AttemptWork,
    DirectUpstream,
    Placement,
    PlacementRequirements,
    Refusal,
    SentRequest,
)
from daisystack.core.placement.places import PLACE_REASONS
from daisystack.core.requests import (
    AttemptOutcome,
    Done,
    GiveUp,
    RequestState,
)
from daisystack.core.resubmission import ResubmissionDetector, SpreadTimesDetector
from daisystack.core.retries import ServiceBudgets
from daisystack.core.stopping import StopTimes
from daisystack.core.traffic import RequestKind, Route, TrafficPolicy, Workspace
from daisystack.core.urgency import Admission
from daisystack.core.verdicts import AttemptEnd, Verdict
from daisystack.runtime.attempt_guard import AttemptGuard
from daisystack.runtime.caller_http import CallerGone, InboundRequest, Responder
from daisystack.runtime.clock import now_s
from daisystack.runtime.crash_watch import CrashWatch
from daisystack.runtime.direct_attempt import AttemptResult, AttemptRunner
from daisystack.runtime.events import (
    AttemptEnded,
    DirectRequestEnded,
    ExpiredVersionStarted,
)
from daisystack.runtime.local_answers import (
    RETRY_AFTER_STOPPING_S,
    RETRY_AFTER_UNAVAILABLE_S,
    LocalAnswer,
    find_retry_after_s,
    send_local_answer,
)
from daisystack.runtime.logs import log_event
from daisystack.runtime.published import PublishedState
from daisystack.runtime.rate_limit_watch import RateLimitWatch
from daisystack.runtime.request_summary import RequestSummary
from daisystack.runtime.upstream_reports import UpstreamReports

__all__ = ["DirectRequests", "DirectRequestSettings"]

# Attempts end this long before the deadline, so that the response reaches the caller in time.
ANSWER_MARGIN_S = 0.02

STOPPING_REASON = "this entry stops before the request could end"
# Of a fault's text in the log.
MAX_REASON_CHARS = 200

_logger = logging.getLogger("daisystack.requests")


@attrs.frozen
class DirectRequestSettings:
    """Zone, age limits of cached data and retry budget that apply to all requests."""

    zone: str
    max_key_age_s: float
    version_bound_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float


@attrs.frozen(eq=False)
class _RequestContext:
    """Hold the state of one request while it is processed."""

    request: DirectRequest
    route: Route
    service: str
    # Workspace that held the caller's key when the request arrived.
    workspace: Workspace | None
    state: RequestState
    runner: AttemptRunner
    summary: RequestSummary


@define(eq=False)
class DirectRequests:
    """Process the requests of one entry and count their outcomes."""

    settings: DirectRequestSettings
    dialect: RequestDialect
    published: PublishedState
    placement: Placement
    operator_mirror: Mirror
    count_entries: Callable[[], int]
    crashes: CrashWatch = field(factory=CrashWatch)
    stop_times: Callable[[], StopTimes | None] = lambda: None
    # Returns whether the published documents are recent enough for a request that arrived then.
    wait_until_current: Callable[[float], bool] = lambda arrived_s: True
    # When this process started; it may use less of the retry budget for a while.
    started_s: float = float("-inf")
    outcomes: dict[tuple[str, int], int] = field(factory=dict)
    # Requests refused because of where the upstreams lie.
    refusals_by_reason: Counter[str] = field(factory=Counter)
    on_request_ended: Callable[[DirectRequestEnded], None] = lambda event: None
    on_attempt_ended: Callable[[AttemptEnded], None] = lambda event: None
    on_expired_start: Callable[[ExpiredVersionStarted], None] = lambda event: None
    held: HeldBytes = field(factory=HeldBytes)
    # Called for each refusal of a service that admits by urgency.
    on_refused: Callable[[Admission], None] = lambda admission: None
    rate_limits: RateLimitWatch = field(init=False)
    _reports: UpstreamReports = field(init=False)
    _budgets: ServiceBudgets = field(init=False)
    _resubmissions: ResubmissionDetector = field(factory=ResubmissionDetector)
    _spread_times: SpreadTimesDetector = field(factory=SpreadTimesDetector)
    _rng: random.Random = field(factory=random.SystemRandom)

    def __attrs_post_init__(self) -> None:
        self.rate_limits = RateLimitWatch(self.placement)
        self._reports = UpstreamReports(self.placement, self.rate_limits)
        settings = self.settings
        self._budgets = ServiceBudgets(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s, self.started_s
        )

    def handle(self, inbound: InboundRequest, responder: Responder) -> None:
        """Respond to one caller's request; raise CallerGone if the caller disconnects."""
        summary = RequestSummary(inbound)
        try:
            self._process(inbound, responder, summary)
        except LocalAnswer as local_answer:
            send_local_answer(self.dialect, responder, summary.request_id, local_answer)
            self._record_end(
                summary, "answered", local_answer.status, Verdict.NOT_RUN, local_answer.reason
            )
        except CallerGone as gone:
            verdict = Verdict.MAY_HAVE_RUN if summary.attempts else Verdict.NOT_RUN
            self._record_end(summary, "caller_gone", 0, verdict, str(gone))
            raise
        except Exception as error:  # the caller must hear of it, and other requests go on
            self._answer_fault(responder, summary, error)

    def _answer_fault(
        self, responder: Responder, summary: RequestSummary, error: Exception
    ) -> None:
        """Answer a request that this entry failed to process; a started answer stays cut."""
        _logger.exception("request_failed", extra={"request_id": summary.request_id})
        verdict = Verdict.MAY_HAVE_RUN if summary.attempts else Verdict.NOT_RUN
        if not responder.has_started:
            answer = LocalAnswer(500, "the entry failed to process the request")
            send_local_answer(self.dialect, responder, summary.request_id, answer)
        self._record_end(summary, "failed", 500, verdict, repr(error)[:MAX_REASON_CHARS])

    def _process(
        self, inbound: InboundRequest, responder: Responder, summary: RequestSummary
    ) -> None:
        if not self.wait_until_current(inbound.arrived_s):
            raise LocalAnswer(503, "configuration is too old", RETRY_AFTER_UNAVAILABLE_S)
        policy = self._current_policy()
        request = self._read_request(inbound, summary)
        route = policy.find_route(request.host, request.path)
        if route is None:
            raise LocalAnswer(404, "no route")
        summary.route = route.name
        workspace = self._authorize(policy, route, request)
        summary.workspace = workspace.name if workspace else ""
        summary.priority = self._priority(workspace, route)
        summary.objective_s = route.objective_s
        self._check_stopping(route, request)
        service = route.choose_service(self._rng.random())
        summary.service = service
        summary.spent_before_s = self._find_spent_s(route, service, request)
        deadline_s = inbound.arrived_s + min(route.timeout_s, request.time_left_s)
        state = RequestState(
            route.is_repeatable,
            deadline_s - ANSWER_MARGIN_S,
            max_attempts=max(1, route.max_attempts),
            has_owner=False,
        )
        self._budgets.credit(service, now_s())
        runner = AttemptRunner(
            self.dialect, request, route, responder, state.deadline_s, held=self.held
        )
        context = _RequestContext(request, route, service, workspace, state, runner, summary)
        try:
            self._attempt_until_done(context)
        finally:
            runner.release()

    def _find_spent_s(self, route: Route, service: str, request: DirectRequest) -> float:
        """Return how much of its time a caller had used when this request arrived."""
        spread_s = self._spread_times.elapsed_s(route.name, request.time_left_s, now_s())
        longest_s = self._resubmissions.elapsed_s(route.name, request.time_left_s)
        return spread_s if self.placement.tells_returns(service) else longest_s

    def _attempt_until_done(self, context: _RequestContext) -> None:
        request, summary = context.request, context.summary
        while True:
            try:
                self._check_hold(request)
                upstream = self._choose_upstream(context)
                # Checked again before each attempt, since the key may have been revoked in between.
                workspace = self._authorize(self._current_policy(), context.route, request)
            except LocalAnswer as local_answer:
                self._end_without_attempt(local_answer, context)
                return
            summary.attempts += 1
            summary.upstream = upstream.id
            self.crashes.record_sent(request)
            outcome = self._run_attempt(context, upstream, workspace)
            retry_budget = _ServiceRetryBudget(self._budgets, context.service, self.count_entries())
            step = context.state.next_step(outcome, retry_budget, now_s())
            if isinstance(step, Done):
                self._record_end(summary, "served", context.runner.status, Verdict.RAN, "")
                return
            if isinstance(step, GiveUp):
                self._give_up(step, context)
                return

    def _current_policy(self) -> TrafficPolicy:
        policy = self.published.policy
        if policy is None:
            raise LocalAnswer(503, "no configuration is known yet", RETRY_AFTER_UNAVAILABLE_S)
        return policy

    def _read_request(self, inbound: InboundRequest, summary: RequestSummary) -> DirectRequest:
        try:
            request = self.dialect.read_request(
                inbound.method, inbound.target, inbound.headers, inbound.body, inbound.arrived_s
            )
        except InvalidRequest as error:
            raise LocalAnswer(400, str(error)) from error
        summary.request_id = request.id
        if request.prompt is not None:
            summary.prompt_tokens = request.prompt.prompt_tokens
        return request

    def _authorize(
        self, policy: TrafficPolicy, route: Route, request: DirectRequest
    ) -> Workspace | None:
        if route.is_public or not policy.requires_keys:
            return None
        workspace = policy.find_workspace(request.api_key)
        if workspace is None:
            raise LocalAnswer(401, "no workspace holds this key")
        age_s = self.operator_mirror.age_s(now_s())
        if age_s > self.settings.max_key_age_s:
            raise LocalAnswer(
                503, f"keys were confirmed {age_s:.1f} s ago", RETRY_AFTER_UNAVAILABLE_S
            )
        return workspace

    def _check_stopping(self, route: Route, request: DirectRequest) -> None:
        stop_times = self.stop_times()
        longest_s = min(route.timeout_s, request.time_left_s)
        if stop_times is not None and not stop_times.has_time_for(longest_s, now_s()):
            raise LocalAnswer(503, STOPPING_REASON, RETRY_AFTER_STOPPING_S)

    def _is_ending(self, now_s: float) -> bool:
        stop_times = self.stop_times()
        return stop_times is not None and stop_times.must_answer(now_s)

    def _check_hold(self, request: DirectRequest) -> None:
        reason = self.crashes.check(request)
        if reason is not None:
            raise LocalAnswer(502, reason)

    def _choose_upstream(self, context: _RequestContext) -> DirectUpstream:
        at_s = now_s()
        if at_s >= context.state.deadline_s:
            raise LocalAnswer(503, "deadline has passed")
        if self._is_ending(at_s):
            raise LocalAnswer(503, STOPPING_REASON, RETRY_AFTER_STOPPING_S)
        requirements = self._build_requirements(context, at_s)
        chosen = self.placement.choose(requirements, at_s)
        if isinstance(chosen, Refusal):
            self._spread_times.record_refusal(at_s)
            if chosen.reason in PLACE_REASONS:
                self.refusals_by_reason[chosen.reason] += 1
            if chosen.admission is not None:
                self.on_refused(chosen.admission)
            raise LocalAnswer(503, chosen.reason, find_retry_after_s(chosen, self._rng))
        if not context.state.outcomes:
            summary = context.summary
            summary.predicted_first_event_s = (
                self.placement.predict_first_event_s(chosen, requirements, at_s) or -1.0
            )
            summary.in_flight = round(self.placement.in_flight(chosen.id, at_s))
        return chosen

    def _build_requirements(self, context: _RequestContext, at_s: float) -> PlacementRequirements:
        request, route, summary = context.request, context.route, context.summary
        prompt = request.prompt
        is_first = not context.state.outcomes
        left_s = route.objective_s - summary.spent_before_s - (at_s - request.arrived_s)
        is_new = is_first and summary.spent_before_s == 0.0 and route.objective_s > 0
        return PlacementRequirements(
            service=context.service,
            zone=self.settings.zone,
            exact_version=context.runner.exact_version,
            version_deadline_s=self._version_deadline(context),
            excluded=context.state.tried_upstreams(),
            prompt_tokens=prompt.prompt_tokens if prompt else 0,
            answer_tokens=prompt.expected_answer_tokens if prompt else 0,
            max_answer_tokens=prompt.max_answer_tokens if prompt else 0,
            first_event_time_left_s=max(0.0, left_s) if is_new else None,
            is_resubmission=is_first and summary.spent_before_s > 0.0,
            is_bulk_failover=not is_first,
            route=route.name,
            workspace=context.workspace.name if context.workspace else "",
            priority=self._priority(context.workspace, route),
            allowed_regions=self._find_homes(context),
        )

    def _find_homes(self, context: _RequestContext) -> frozenset[str] | None:
        request = context.request
        policy = self._current_policy()
        return find_homes(policy, request.host, request.path, request.api_key, context.route)

    def _build_guard(
        self,
        context: _RequestContext,
        upstream: DirectUpstream,
        workspace: Workspace | None,
        sent: SentRequest,
    ) -> AttemptGuard:
        return AttemptGuard(
            placement=self.placement,
            upstream=upstream,
            sent=sent,
            state=context.state,
            version_deadline_s=self._version_deadline(context),
            build_requirements=lambda at_s: self._build_requirements(context, at_s),
            can_retry=lambda at_s: self._budgets.can_consume(
                context.service, self.count_entries(), at_s
            ),
            is_authorized=lambda: self._is_authorized(context, workspace),
            is_ending=self._is_ending,
        )

    def _is_authorized(self, context: _RequestContext, workspace: Workspace | None) -> bool:
        """Return whether the key still is that of the workspace, confirmed recently enough."""
        try:
            present = self._authorize(self._current_policy(), context.route, context.request)
        except LocalAnswer:
            # The next attempt's own check answers the caller.
            return False
        return (present.name if present else None) == (workspace.name if workspace else None)

    def _version_deadline(self, context: _RequestContext) -> Callable[[int], float] | None:
        """Return what tells until when a request may start on a version; None for plain services.

        A request that names no model gets the one of its service's engines.
        """
        profile = self.placement.profiles.get(context.service)
        prompt = context.request.prompt
        model = prompt.model if prompt else (profile.model if profile else "")
        if not model:
            return None
        bound_s = self.settings.version_bound_s
        return lambda version: self.published.targets.usable_until_s(model, version, bound_s)

    def _run_attempt(
        self, context: _RequestContext, upstream: DirectUpstream, workspace: Workspace | None
    ) -> AttemptOutcome:
        request, runner, summary = context.request, context.runner, context.summary
        started_s = now_s()
        in_flight = round(self.placement.in_flight(upstream.id, started_s))
        tokens = request.prompt.prompt_tokens if request.prompt else 0
        requirements = self._build_requirements(context, started_s)
        sent = self.placement.begin(upstream.id, tokens, started_s, requirements)
        version_ends_s = self._version_end_s(context, upstream, sent.version)
        try:
            result = runner.run(
                upstream,
                workspace,
                self._priority(workspace, context.route),
                self.placement.run_until_s(upstream, requirements, started_s),
                self._build_guard(context, upstream, workspace, sent),
                lambda answer: self._reports.record_head(request, sent, upstream, answer),
            )
        finally:
            self.placement.end(sent, now_s())
        if summary.first_event_s < 0 and runner.first_event_sent_s is not None:
            summary.first_event_s = runner.first_event_sent_s - summary.inbound.arrived_s
        is_down = self.crashes.record_result(request, upstream, result)
        self._reports.record_result(upstream, result, is_down)
        work = self._record_work(context, sent, result)
        event = AttemptEnded(
            request.id,
            summary.attempts,
            upstream.id,
            result.end.value,
            result.reason,
            result.status,
            in_flight,
            sent.version,
            now_s() - started_s,
            version_ends_s - started_s if version_ends_s < float("inf") else -1.0,
            sent.first_received_s - started_s if sent.first_received_s is not None else -1.0,
            context.route.kind.value,
            work.predicted_s if work else -1.0,
            work.seen_s if work else -1.0,
        )
        self.on_attempt_ended(event)
        if result.end is not AttemptEnd.ANSWERED:
            log_event(_logger, event)
        self._report_expired_start(event, context, upstream, sent)
        return AttemptOutcome(result.end, upstream.id, reason=result.reason)

    def _record_work(
        self, context: _RequestContext, sent: SentRequest, result: AttemptResult
    ) -> AttemptWork | None:
        """Learn from a whole answer and return its work; None if a part of it was elsewhere."""
        is_resumed = bool(context.state.outcomes) or context.request.resume_after is not None
        if result.end is not AttemptEnd.ANSWERED or not 200 <= result.status < 300 or is_resumed:
            return None
        # Only events show how much of an answer an engine has written.
        has_engine = context.service in self.placement.profiles
        if has_engine and context.route.kind is not RequestKind.STREAM:
            return None
        return self.placement.record_answer(sent, now_s())

    def _version_end_s(
        self, context: _RequestContext, upstream: DirectUpstream, version: int
    ) -> float:
        """Return until when a request may start on an engine's version; inf without a limit."""
        deadline = self._version_deadline(context)
        return deadline(version) if deadline and upstream.has_engine else float("inf")

    def _report_expired_start(
        self,
        event: AttemptEnded,
        context: _RequestContext,
        upstream: DirectUpstream,
        sent: SentRequest,
    ) -> None:
        version = context.runner.exact_version
        if sent.first_received_s is None or version is None:
            return
        late_s = sent.first_received_s - self._version_end_s(context, upstream, version)
        if late_s <= 0:
            return
        expired = ExpiredVersionStarted(
            event.request_id, event.upstream, version, late_s, event.version_left_s
        )
        self.on_expired_start(expired)
        log_event(_logger, expired)

    def _priority(self, workspace: Workspace | None, route: Route) -> int:
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return route.priority

    def _end_without_attempt(self, local_answer: LocalAnswer, context: _RequestContext) -> None:
        """End a request for which no further attempt is made."""
        state, runner, summary = context.state, context.runner, context.summary
        if runner.has_started:
            self._end_truncated(runner, summary, local_answer.reason)
        elif runner.failed_answer is not None:
            self._forward_failure(runner, summary)
        elif state.verdict is Verdict.NOT_RUN:
            raise local_answer
        else:
            has_timed_out = state.outcomes[-1].end is AttemptEnd.DEADLINE
            status = 504 if has_timed_out or now_s() >= state.deadline_s else 502
            self._fail(runner, summary, state.verdict, status, local_answer.reason)

    def _give_up(self, step: GiveUp, context: _RequestContext) -> None:
        retry_after_s = find_retry_after_s(Refusal(step.reason, True), self._rng)
        self._end_without_attempt(LocalAnswer(503, step.reason, retry_after_s), context)

    def _forward_failure(self, runner: AttemptRunner, summary: RequestSummary) -> None:
        runner.forward_failure()
        self._record_end(summary, "failed_by_upstream", runner.status, Verdict.RAN, "")

    def _end_truncated(self, runner: AttemptRunner, summary: RequestSummary, reason: str) -> None:
        # The missing end of the body tells the caller that the response is incomplete.
        self._record_end(summary, "broken_off", runner.status, Verdict.MAY_HAVE_RUN, reason)

    def _fail(
        self,
        runner: AttemptRunner,
        summary: RequestSummary,
        verdict: Verdict,
        status: int,
        reason: str,
    ) -> None:
        answer = LocalAnswer(status, reason)
        send_local_answer(self.dialect, runner.responder, summary.request_id, answer)
        self._record_end(summary, "failed", status, verdict, reason)

    def retries_left(self) -> float:
        """Return the number of retries left in the budget with the fewest left."""
        return self._budgets.remaining(self.count_entries(), now_s())

    def _record_end(
        self, summary: RequestSummary, outcome: str, status: int, verdict: Verdict, reason: str
    ) -> None:
        key = (outcome, status)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
        policy = self.published.policy
        version = policy.version if policy else 0
        at_s = now_s()
        age_s = self.operator_mirror.age_s(at_s)
        event = summary.build_event(outcome, status, verdict, reason, version, age_s, at_s)
        self.on_request_ended(event)
        log_event(_logger, event)


@define
class _ServiceRetryBudget:
    """Retry budget of one service, as RequestState.next_step expects it."""

    budgets: ServiceBudgets
    service: str
    entry_count: int

    def try_consume(self) -> bool:
        """Consume one retry; return False if none is left."""
        return self.budgets.try_consume(self.service, self.entry_count, now_s())
