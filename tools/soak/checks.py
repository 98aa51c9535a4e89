"""Check the promises on the records of a run; each check returns a line for each breach."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable

from attrs import define, field

from daisystack.tests.on_platform.soak_site import KEPT_KEYS, Bounds
from tools.soak.records import MACHINE, History, Publication, RequestRecord, UpstreamEvent

__all__ = ["Evidence", "find_breaches"]

# Measuring errors between a caller's clock reading and a program's.
SLACK_S = 0.25
# A program is in touch if neither it nor its way to the store was disturbed for this long.
STABLE_S = 1.0
# Share of a request's time after which a cut may be due to its deadline.
DEADLINE_SHARE = 0.9
# A request that had no answer for this long was read by its entry.
LOSS_SLACK_S = 0.5
RECOVERY_S = 5.0
# An upstream that left has ended by then, and its id may be used again.
MAX_DRAIN_S = 2.5
MIN_SERVED_SHARE = 0.75
# An upstream's limit is kept from then on, by entries that passed it on so long before.
LIMIT_STABLE_S = 3.0
LIMIT_TOLD_S = 0.5
LIMIT_WINDOW_S = 4.0
SERVICES = {"draft": "pool", "tale": "pool"}
REFUSED_KEY, NO_ROUTE = 401, 404


@define(eq=False)
class Evidence:
    """Records of callers and upstreams, by request."""

    history: History
    events: list[UpstreamEvent]
    bounds: Bounds
    by_id: dict[str, RequestRecord] = field(init=False)
    begun: dict[str, list[UpstreamEvent]] = field(init=False)
    arrived: dict[str, list[UpstreamEvent]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.by_id = {record.shape.id: record for record in self.history.requests}
        self.begun = self._by_request("began")
        self.arrived = self._by_request("arrived")

    def _by_request(self, kind: str) -> dict[str, list[UpstreamEvent]]:
        grouped = defaultdict(list)
        for event in self.events:
            if event.event == kind:
                grouped[event.id].append(event)
        return grouped

    def is_in_touch(self, entry: int, start_s: float, end_s: float) -> bool:
        """Return whether an entry, its way to the store and the store were undisturbed."""
        targets = (f"entry-{entry}", f"store:{entry}", "store")
        return self.history.is_calm(targets, start_s - STABLE_S, end_s)


def find_breaches(evidence: Evidence) -> list[str]:
    """Return one line for each breach of a promise."""
    return [f"{name}: {breach}" for name, check in CHECKS.items() for breach in check(evidence)]


def check_whole_answers(evidence: Evidence) -> list[str]:
    """Each success is the whole answer to its own request, from one version of the weights."""
    return [
        f"{r.shape.path} at entry {r.entry}: {r.fault}"
        for r in evidence.history.requests
        if r.fault
    ]


def check_at_most_once(evidence: Evidence) -> list[str]:
    """A request that may not be repeated begins at most once."""
    return [
        f"{record.shape.path} began at {[e.upstream for e in evidence.begun[id_]]}"
        for id_, record in evidence.by_id.items()
        if not record.shape.is_repeatable and len(evidence.begun.get(id_, ())) > 1
    ]


def check_not_run(evidence: Evidence) -> list[str]:
    """A request that may not be repeated and was answered "not run" never begins."""
    return [
        f"{record.shape.path} was answered {record.status} and began at "
        f"{evidence.begun[id_][0].upstream}"
        for id_, record in evidence.by_id.items()
        if not record.shape.is_repeatable and record.claims_not_run and id_ in evidence.begun
    ]


def check_own_requests(evidence: Evidence) -> list[str]:
    """Upstreams get only requests that callers sent, unchanged and with the right workspace."""
    breaches = []
    for events in evidence.arrived.values():
        event = events[0]
        record = evidence.by_id.get(event.id)
        workspace = "dealers" if record and record.shape.key else None
        if record is None or (event.path, event.workspace) != (record.shape.path, workspace):
            breaches.append(f"{event.upstream} got {event.id} {event.path} of {event.workspace}")
    return breaches


def check_revoked_keys(evidence: Evidence) -> list[str]:
    """A revoked key is served by no entry, in touch or not, after its bound."""
    breaches = []
    for id_, record in evidence.by_id.items():
        if not record.shape.key or not (record.is_served or id_ in evidence.begun):
            continue
        revoking_version = record.shape.key + KEPT_KEYS
        since_s = _held_since_s(evidence.history.configs, revoking_version, record.sent_s)
        late_s = record.sent_s - since_s - evidence.bounds.revoke_s
        if late_s > SLACK_S:
            breaches.append(f"{record.shape.path} at entry {record.entry}, {late_s:.2f} s late")
    return breaches


def _held_since_s(publications: list[Publication], version: int, at_s: float) -> float:
    """Return since when the store has held this version or newer ones; infinite if it does not."""
    since_s = float("inf")
    for publication in publications:
        if publication.at_s <= at_s:
            is_held = publication.version >= version
            since_s = min(since_s, publication.at_s) if is_held else float("inf")
    return since_s


def check_config_order(evidence: Evidence) -> list[str]:
    """In one life of an entry, no answer shows an older configuration than one before it."""
    breaches = []
    lives = defaultdict(list)
    for record in evidence.history.requests:
        if record.life >= 0:
            lives[record.entry, record.life].append(record)
    for (entry, life), records in lives.items():
        shown = sorted((r.ended_s, v) for r in records if (v := _oldest_config(r)))
        for record in records:
            newest = _newest_config(record)
            known = max((v for ended_s, v in shown if ended_s < record.sent_s), default=0)
            if newest is not None and newest < known:
                breaches.append(
                    f"entry {entry}, life {life}: {record.shape.path} with key "
                    f"{record.shape.key} got {record.status} after version {known} was in force"
                )
    return breaches


def _oldest_config(record: RequestRecord) -> int:
    """Return the oldest configuration that explains an answer, 0 if any does."""
    if not record.is_served:
        return 0
    return record.shape.probed_config if record.shape.kind == "probe" else record.shape.key


def _newest_config(record: RequestRecord) -> int | None:
    """Return the newest configuration that explains an answer, None if any does."""
    if record.status == NO_ROUTE and record.shape.kind == "probe":
        return record.shape.probed_config - 1
    if record.is_served and record.shape.key:
        return record.shape.key + KEPT_KEYS - 1
    return None


def check_config_bound(evidence: Evidence) -> list[str]:
    """An entry in touch handles requests by the newest configuration after its bound."""
    breaches = []
    bound_s = evidence.bounds.config_s
    for record in evidence.history.requests:
        in_force = _config_in_force(evidence, record)
        newest = _newest_config(record)
        is_late = newest is not None and newest < in_force
        is_denied = record.status == REFUSED_KEY and _is_key_valid(evidence, record)
        start_s = record.sent_s - bound_s
        if (is_late or is_denied) and evidence.is_in_touch(record.entry, start_s, record.ended_s):
            breaches.append(
                f"{record.shape.path} with key {record.shape.key} at entry {record.entry} got "
                f"{record.status}, in force is {in_force}"
            )
    return breaches


def _config_in_force(evidence: Evidence, record: RequestRecord) -> int:
    """Return the configuration that must be in force at an entry in touch, 0 for none."""
    before_s = record.sent_s - evidence.bounds.config_s - SLACK_S
    published = [p.version for p in evidence.history.configs if p.at_s < before_s]
    return max(published, default=0)


def _is_key_valid(evidence: Evidence, record: RequestRecord) -> bool:
    """Return whether every configuration that may be in force has the request's key."""
    in_force = _config_in_force(evidence, record)
    sent = [p.version for p in evidence.history.configs if p.sent_s <= record.ended_s]
    return record.shape.key <= in_force and max(sent) < record.shape.key + KEPT_KEYS


def check_leaving_upstreams(evidence: Evidence) -> list[str]:
    """No entry in touch sends a request to an upstream later than its bound after it left."""
    breaches = []
    bound_s = evidence.bounds.drain_s
    leaving_s = {}
    for event in evidence.events:
        if event.event == "leaving":
            leaving_s[event.upstream] = event.at_s
        if event.event != "arrived":
            continue
        late_s = event.at_s - leaving_s.get(event.upstream, float("inf")) - bound_s
        record = evidence.by_id.get(event.id)
        if late_s <= SLACK_S or late_s > MAX_DRAIN_S or record is None:
            continue
        start_s = event.at_s - late_s - bound_s
        link = (f"upstream:{event.upstream.partition('.')[0]}",)
        if evidence.is_in_touch(record.entry, start_s, event.at_s) and evidence.history.is_calm(
            link, start_s, event.at_s
        ):
            breaches.append(
                f"{event.upstream} got {record.shape.path} from entry {record.entry} {late_s:.2f} "
                "s after the bound"
            )
    return breaches


def check_leaving_answers(evidence: Evidence) -> list[str]:
    """No entry that passed on that an upstream leaves sends it a request after the bound."""
    breaches = []
    bound_s = evidence.bounds.drain_s
    told_s: dict[tuple[int, int, str], float] = {}
    for record in sorted(evidence.history.requests, key=lambda record: record.ended_s):
        if record.is_upstream_leaving and record.life >= 0:
            told_s.setdefault((record.entry, record.life, record.upstream), record.ended_s)
    for event in evidence.events:
        record = evidence.by_id.get(event.id)
        if event.event != "arrived" or record is None:
            continue
        since_s = told_s.get((record.entry, record.life, event.upstream), float("inf"))
        late_s = record.sent_s - since_s - bound_s
        is_sound = evidence.history.is_calm((f"entry-{record.entry}",), since_s, event.at_s)
        if SLACK_S < late_s <= MAX_DRAIN_S and is_sound:
            breaches.append(
                f"{event.upstream} got {record.shape.path} from entry {record.entry} {late_s:.2f} "
                "s after the bound since its answer"
            )
    return breaches


def check_graceful_stops(evidence: Evidence) -> list[str]:
    """A stop ends within its grace with status 0 and cuts off no request."""
    breaches = []
    for life in evidence.history.lives:
        if life.stop_s is None:
            continue
        if life.status != 0:
            breaches.append(f"entry {life.entry}, life {life.number}: exit status {life.status}")
        breaches += [
            f"{r.shape.path} at entry {life.entry} was cut {r.ended_s - life.stop_s:.2f} s after "
            f"the stop signal, {r.ended_s - r.sent_s:.2f} s after it was sent"
            for r in evidence.history.requests
            if r.entry == life.entry
            and r.error == "closed"
            and life.stop_s <= r.ended_s <= life.ended_s + SLACK_S
            and _was_read(evidence, r)
            and _is_sound(evidence, r)
        ]
    return breaches


def _was_read(evidence: Evidence, record: RequestRecord) -> bool:
    took_s = record.ended_s - record.sent_s
    is_at_deadline = took_s > DEADLINE_SHARE * record.shape.deadline_s
    is_passed_on = record.shape.id in evidence.arrived
    return not is_at_deadline and (is_passed_on or took_s > LOSS_SLACK_S)


def _is_sound(evidence: Evidence, record: RequestRecord) -> bool:
    """Return whether nothing but the stop of its entry disturbed a request."""
    prefix = "engine-" if record.shape.is_stream else "plain-"
    targets = ("store", "store:", "callers:", "upstream:", prefix)
    start_s = record.sent_s - STABLE_S
    others = [
        d
        for d in evidence.history.disruptions
        if d.target == f"entry-{record.entry}" and d.kind != "terminate"
    ]
    return evidence.history.is_calm(targets, start_s, record.ended_s) and not any(
        d.start_s <= record.ended_s and d.end_s >= start_s for d in others
    )


def check_retry_budget(evidence: Evidence) -> list[str]:
    """In any window, repeated arrivals of a service stay within the budget of all entries."""
    breaches = []
    bounds = evidence.bounds
    repeated, sent = defaultdict(list), defaultdict(list)
    for events in evidence.arrived.values():
        repeated[events[0].service] += [event.at_s for event in events[1:]]
    for record in evidence.history.requests:
        sent[SERVICES.get(record.shape.kind, "ledger")].append(record.sent_s)
    for service, times_s in repeated.items():
        times_s.sort()
        for end_s in times_s:
            count = _count(times_s, end_s, bounds.retry_window_s)
            requests = max(
                _count(sent[service], end_s - shift * bounds.retry_window_s, bounds.retry_window_s)
                for shift in (0, 0.5, 1)
            )
            allowed = bounds.retry_ratio * requests + bounds.retry_slack
            if count > allowed:
                breaches.append(f"{service}: {count} repeats, allowed are {allowed:.1f}")
                break
    return breaches


def _count(times_s: list[float], end_s: float, window_s: float) -> int:
    return sum(end_s - window_s < time_s <= end_s for time_s in times_s)


def check_rate_limits(evidence: Evidence) -> list[str]:
    """Entries that passed on an upstream's limit keep it together."""
    told_s: dict[tuple[str, int], float] = {}
    for record in evidence.history.requests:
        if record.rate_limit:
            key = (record.upstream, record.entry)
            told_s[key] = min(record.ended_s, told_s.get(key, record.ended_s))
    breaches = []
    for start_s, end_s, limited in _limited_times(evidence):
        name = limited.upstream.partition(".")[0]
        times_s = []
        for event in evidence.events:
            record = evidence.by_id.get(event.id)
            if event.event != "arrived" or event.upstream != limited.upstream or record is None:
                continue
            is_told = told_s.get((event.upstream, record.entry), end_s) + LIMIT_TOLD_S <= event.at_s
            targets = (f"entry-{record.entry}", name, f"upstream:{name}")
            is_calm = evidence.history.is_calm(targets, event.at_s - LIMIT_STABLE_S, event.at_s)
            if start_s + LIMIT_STABLE_S <= event.at_s <= end_s and is_told and is_calm:
                times_s.append(event.at_s)
        allowed = 1.5 * LIMIT_WINDOW_S * float(limited.reason) + 5
        worst = max((_count(times_s, at_s, LIMIT_WINDOW_S) for at_s in times_s), default=0)
        if worst > allowed:
            breaches.append(f"{limited.upstream} got {worst} in 4 s, allowed are {allowed:.1f}")
    return breaches


def _limited_times(evidence: Evidence) -> list[tuple[float, float, UpstreamEvent]]:
    """Return when each limit was first named in an answer, when it ended, and its event."""
    times = []
    for limited in (e for e in evidence.events if e.event == "limited"):
        ends_s = [
            e.at_s
            for e in evidence.events
            if e.event == "unlimited" and e.upstream == limited.upstream and e.at_s > limited.at_s
        ]
        end_s = min(ends_s, default=float("inf"))
        named_s = [
            r.ended_s
            for r in evidence.history.requests
            if r.upstream == limited.upstream and r.rate_limit and r.ended_s > limited.at_s
        ]
        times.append((min(named_s, default=end_s), end_s, limited))
    return times


def check_versions(evidence: Evidence) -> list[str]:
    """No request of an entry in touch begins on an old version after the bound of a newer one."""
    breaches = []
    bound_s = evidence.bounds.version_s
    for event in evidence.events:
        record = evidence.by_id.get(event.id)
        if event.event != "began" or event.service != "pool" or record is None:
            continue
        due = [
            p.version
            for p in evidence.history.weights
            if p.at_s + bound_s + SLACK_S < event.at_s and p.version > event.version
        ]
        name = event.upstream.partition(".")[0]
        start_s = event.at_s - bound_s
        if (
            due
            and evidence.is_in_touch(record.entry, start_s, event.at_s)
            and evidence.history.is_calm((name, f"upstream:{name}"), record.sent_s, event.at_s)
        ):
            breaches.append(
                f"{record.shape.path} of entry {record.entry} began on version {event.version} at "
                f"{event.upstream}, due is {max(due)}"
            )
    return breaches


def check_recovery(evidence: Evidence) -> list[str]:
    """Some seconds after the last fault, most requests of each kind are served again."""
    sent, served = Counter(), Counter()
    history = evidence.history
    start_s = history.calm_from_s + RECOVERY_S
    if not history.is_calm((MACHINE,), history.calm_from_s, history.planned_from_s):
        return []
    for record in history.requests:
        if not start_s <= record.sent_s < history.planned_from_s:
            continue
        if record.shape.key and not _is_key_valid(evidence, record):
            continue
        sent[record.shape.kind] += 1
        served[record.shape.kind] += record.is_served
    return [
        f"{kind}: {served[kind]} of {count} served"
        for kind, count in sent.items()
        if served[kind] < MIN_SERVED_SHARE * count
    ]


CHECKS: dict[str, Callable[[Evidence], list[str]]] = {
    "whole answers": check_whole_answers,
    "at most once": check_at_most_once,
    "not run": check_not_run,
    "own requests": check_own_requests,
    "revoked keys": check_revoked_keys,
    "configuration never back": check_config_order,
    "configuration in force": check_config_bound,
    "leaving upstreams": check_leaving_upstreams,
    "leaving answers": check_leaving_answers,
    "graceful stops": check_graceful_stops,
    "retry budget": check_retry_budget,
    "rate limits": check_rate_limits,
    "weight versions": check_versions,
    "recovery": check_recovery,
}
