"""Play requests in passed time while homes, zones and evacuations change, without sockets."""

from __future__ import annotations

import random
from collections.abc import Callable
from unittest import mock

import attrs
import eventlet
from attrs import define, field, frozen

from daisystack.core.evacuations import ZoneEvacuation
from daisystack.core.mirror import Change, Mirror
from daisystack.core.placement.places import Places
from daisystack.core.traffic import RequestKind, Route, Share, TrafficPolicy, Workspace
from daisystack.core.verdicts import AttemptEnd
from daisystack.runtime import direct_attempt
from daisystack.runtime.direct_http import AnswerHead
from daisystack.runtime.direct_requests import DirectRequests
from daisystack.runtime.upstream_http import AttemptFailed
from daisystack.testing.direct import (
    RecordingResponder,
    build_engine_profile,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.fleet import run_in_passed_time

__all__ = ["REGION_BY_ZONE", "PlacePlay", "PlaceReader", "play_places", "publish"]

REGION_BY_ZONE = {"z1": "north", "z2": "north", "z3": "south", "z4": "south", "z5": "west"}
# Upstreams may also lie in a zone whose region nobody knows.
ZONES = (*REGION_BY_ZONE, "z6")
REGIONS = ("north", "south", "west")
KEYS = ("k1", "k2", "k3")
UPSTREAMS = 10
EVACUATION_PREFIX = "op/evacuate/"
CONNECT_S = 0.03
STUCK_S = 1.0
CHANGE_SHARE = 0.3


class PlaceReader:
    """Publication reader that knows only evacuations, by the names of their keys."""

    def read(self, change: Change):
        """Return the evacuation that a key orders, None for other keys."""
        if not change.key.startswith(EVACUATION_PREFIX):
            return None
        return ZoneEvacuation(change.key.removeprefix(EVACUATION_PREFIX))

    def upstream_id(self, key: str) -> None:
        """Return that no key is an upstream's."""

    def document_version(self, key: str, value: bytes) -> None:
        """Return that values state no version."""


def publish(requests: DirectRequests, key: str, value: bytes | None) -> None:
    """Apply a change of a key to an entry's published state."""
    requests.published.apply_changes(Mirror("op/"), [Change(key, 1, value)])


@frozen
class Sent:
    """One request as an upstream received it."""

    zone: str
    is_outside: bool
    is_evacuated: bool


@define(eq=False)
class PlacePlay:
    """One entry whose published state changes while it serves drawn requests."""

    seed: int
    has_homes: bool = True
    has_evacuations: bool = True
    changes_while_connecting: bool = True
    sent: list[Sent] = field(factory=list)
    not_sent: int = 0
    statuses: list[int] = field(factory=list)
    chosen: list[str] = field(factory=list)
    requests: DirectRequests = field(init=False)
    _draw: random.Random = field(init=False)
    _zone_by_address: dict[str, str] = field(factory=dict)
    _evacuated: set[str] = field(factory=set)
    _next_address: int = 0
    _prefix: str = ""
    _key: str = ""

    def __attrs_post_init__(self) -> None:
        self._draw = random.Random(self.seed)
        self.requests = build_requests(self._draw_policy(), (), places=Places(REGION_BY_ZONE))
        self.requests._rng = self._draw
        self.requests.published.reader = PlaceReader()
        self.requests.placement.update_profiles({"pool": build_engine_profile()})
        for index in range(UPSTREAMS):
            self._move_upstream(f"u{index}")

    def serve(self, count: int) -> PlacePlay:
        """Serve requests one after another, with changes before and during each."""

        def exchange(address, deadline_s, check_wait):
            return _Exchange(self, address, check_wait)

        with mock.patch.object(direct_attempt, "DirectExchange", exchange):
            for _ in range(count):
                self._draw_changes()
                self._serve_one()
        return self

    def outside(self) -> int:
        """Return how many requests reached an upstream outside their homes."""
        return sum(sent.is_outside for sent in self.sent)

    def evacuated(self) -> int:
        """Return how many requests reached an upstream in an evacuated zone."""
        return sum(sent.is_evacuated for sent in self.sent)

    def record_sent(self, address: str) -> None:
        """Judge a request that is sent now by the policy in force, apart from the code's way."""
        zone = self._zone_by_address[address]
        self.chosen.append(zone)
        policy = self.requests.published.policy
        route = next(r for r in policy.routes if r.prefix == self._prefix)
        owners = [route]
        if not route.is_public:
            owners += [w for w in policy.workspaces if self._key in w.keys]
        region = REGION_BY_ZONE.get(zone)
        is_outside = any(o.allowed_regions and region not in o.allowed_regions for o in owners)
        self.sent.append(Sent(zone, is_outside, zone in self._evacuated))

    def draw_change(self) -> None:
        """Change the policy, an upstream's zone or an evacuation."""
        draw = self._draw.random()
        if draw < 0.4:
            self.requests.published.policy = self._draw_policy()
        elif draw < 0.7:
            self._move_upstream(f"u{self._draw.randrange(UPSTREAMS)}")
        elif self.has_evacuations:
            self._change_evacuation(min(self._evacuated, default=self._draw.choice(ZONES)))

    def draw_end(self, check_wait: Callable[[], None]) -> None:
        """Draw how an attempt goes on; raise AttemptFailed if it fails before its answer."""
        draw = self._draw.random()
        if draw < 0.2:
            raise AttemptFailed(AttemptEnd.NO_ANSWER, "reset")
        if draw < 0.3:
            raise AttemptFailed(AttemptEnd.REFUSED_AT_GATE, "full")
        if draw < 0.4:
            eventlet.sleep(STUCK_S)
            check_wait()

    def breaks_off(self) -> bool:
        """Draw whether a stream ends after its first event."""
        return self._draw.random() < 0.3

    def _serve_one(self) -> None:
        index = self._draw.randrange(3)
        self._prefix, self._key = f"/r{index}/", self._draw.choice(KEYS)
        responder = RecordingResponder()
        inbound = build_inbound(target=f"{self._prefix}1", daisystack_key=self._key)
        self.requests.handle(inbound, responder)
        self.statuses.append(responder.status)

    def _draw_changes(self) -> None:
        for _ in range(2):
            if self._draw.random() < CHANGE_SHARE:
                self.draw_change()
        mirror = self.requests.operator_mirror
        mirror.confirmed_s = direct_attempt.now_s()

    def _draw_policy(self) -> TrafficPolicy:
        routes = tuple(self._draw_route(index) for index in range(3))
        workspaces = tuple(
            Workspace(f"w{key}", frozenset({key}), None, self._draw_homes()) for key in KEYS
        )
        return attrs.evolve(build_policy(routes[0], workspaces), routes=routes)

    def _draw_route(self, index: int) -> Route:
        return build_route(
            (RequestKind.SAFE, RequestKind.STREAM, RequestKind.STREAM)[index],
            name=f"r{index}",
            prefix=f"/r{index}/",
            shares=(Share(("ledger", "ledger", "pool")[index], 1.0),),
            max_attempts=4,
            timeout_s=6.0,
            is_resumable=index > 0,
            is_public=self._draw.random() < 0.2,
            allowed_regions=self._draw_homes(),
        )

    def _draw_homes(self) -> frozenset[str]:
        homes = frozenset(r for r in REGIONS if self._draw.random() < 0.5)
        is_homed = self._draw.random() < 0.6
        return homes if is_homed and self.has_homes else frozenset()

    def _move_upstream(self, upstream_id: str) -> None:
        """Publish a new life of an upstream, or its present one in another zone."""
        self._next_address += 1
        address = f"10.0.{self._next_address // 250 % 250}.{self._next_address % 250 + 1}:1"
        zone = self._draw.choice(ZONES)
        self._zone_by_address[address] = zone
        is_new_life = self._draw.random() < 0.5
        has_engine = int(upstream_id[1:]) % 2 == 1
        upstream = build_upstream(
            upstream_id,
            address,
            zone=zone,
            service="pool" if has_engine else "ledger",
            has_engine=has_engine,
            version=1,
            started_ms=self._next_address if is_new_life else 0,
        )
        self.requests.placement.update_upstream(upstream)

    def _change_evacuation(self, zone: str) -> None:
        is_evacuated = zone in self._evacuated
        (self._evacuated.discard if is_evacuated else self._evacuated.add)(zone)
        publish(self.requests, EVACUATION_PREFIX + zone, None if is_evacuated else b"{}")


@define(eq=False)
class _Exchange:
    """Attempt whose connection and answer are drawn, in place of a DirectExchange."""

    play: PlacePlay
    address: str
    check_wait: Callable[[], None]
    was_reset: bool = False
    is_sent: bool = False

    def connect(self) -> None:
        """Pass time, in which what is published may change."""
        eventlet.sleep(CONNECT_S)
        if self.play.changes_while_connecting:
            self.play.draw_change()

    def check_silent(self) -> None:
        """Find nothing before the request."""

    def send(self, method, target, headers, body) -> None:
        """Record the request as received."""
        self.is_sent = True
        self.play.record_sent(self.address)

    def read_head(self) -> AnswerHead:
        """Return the head of a stream, unless the attempt fails."""
        self.play.draw_end(self.check_wait)
        headers = ((b"daisystack-mark", b"m"), (b"content-type", b"text/event-stream"))
        version = ((b"daisystack-version", b"1"), (b"content-length", b"9"))
        return AnswerHead(200, headers + version)

    def iter_body(self, max_bytes: float = float("inf")):
        """Return the events of a stream, which may break off."""
        yield b"id: 1\ndata: a\n\n"
        if self.play.breaks_off():
            self.play.draw_change()
            raise AttemptFailed(AttemptEnd.ANSWER_CUT, "closed within the answer")
        yield b"id: 2\ndata: b\n\n"

    def close(self) -> None:
        """Count an attempt that ended before it was sent."""
        self.play.not_sent += not self.is_sent


def play_places(seed: int, count: int, **options) -> PlacePlay:
    """Return an entry that served drawn requests in passed time."""
    return run_in_passed_time(lambda: PlacePlay(seed, **options).serve(count), seed)
