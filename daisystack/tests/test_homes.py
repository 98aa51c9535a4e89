"""Test that requests reach no upstream outside their homes or in an evacuated zone.

An entry serves drawn requests in passed time: first attempts, retries, resumed streams and attempts
that leave a stuck machine, while homes are added, removed and swapped, zones are evacuated and
taken back, and upstreams change zones.
"""

import os
import unittest
from unittest import mock

import attrs

from daisystack.core.homes import find_homes
from daisystack.core.placement import Placement, PlacementRequirements, Refusal
from daisystack.core.placement.eligibility import Eligibility
from daisystack.core.placement.places import NO_COMMON_HOME, NONE_IN_HOMES, Places
from daisystack.core.traffic import Workspace
from daisystack.runtime import direct_requests
from daisystack.testing.direct import (
    RecordingResponder,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.places import REGION_BY_ZONE, play_places

# Requests in CI; a longer run is started by hand.
DRAWS = int(os.environ.get("DAISYSTACK_PLACE_DRAWS", "1200"))
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
is_eligible = Eligibility.is_eligible


def ignore_homes_at_choice(self, upstream, requirements, now_s):
    return is_eligible(self, upstream, attrs.evolve(requirements, allowed_regions=None), now_s)


def find_homes_of_route(policy, host, path, api_key, route):
    return find_homes(attrs.evolve(policy, workspaces=()), host, path, api_key, route)


def find_homes_at_arrival(policy, host, path, api_key, route):
    return find_homes(attrs.evolve(policy, routes=(route,)), host, path, api_key, route)


def allow_unknown_region(self, zone, allowed_regions):
    return self.region_by_zone.get(zone) in (None, *allowed_regions)


def ignore_evacuations(self, zone, allowed_regions):
    return allowed_regions is None or self._is_allowed(zone, allowed_regions)


class TestInterleavings(unittest.TestCase):
    def test_no_request_reaches_an_upstream_that_may_not_serve_it(self):
        play = play_places(1, DRAWS)
        self.assertEqual((play.outside(), play.evacuated()), (0, 0))
        self.assertGreater(len(play.sent), DRAWS / 2)
        if "DAISYSTACK_PLACE_DRAWS" in os.environ:
            print(f"requests={DRAWS} sent={len(play.sent)} not_sent={play.not_sent}")

    def test_each_part_of_the_rule_is_needed(self):
        """Guards against a play that could not fail."""
        for owner, name, broken, counts in [
            (Placement, "may_send", lambda *arguments: True, ("outside", "evacuated")),
            (Places, "may_serve", ignore_evacuations, ("evacuated",)),
            (direct_requests, "find_homes", find_homes_of_route, ("outside",)),
            (direct_requests, "find_homes", find_homes_at_arrival, ("outside",)),
            (Places, "_is_allowed", allow_unknown_region, ("outside",)),
        ]:
            with self.subTest(broken.__name__), mock.patch.object(owner, name, broken):
                play = play_places(2, 200)
                for count in counts:
                    self.assertGreater(getattr(play, count)(), 0)

    def test_upstreams_outside_the_homes_are_not_chosen(self):
        """Guards against attempts that the check at the send alone has to end."""
        options = {"changes_while_connecting": False}
        self.assertEqual(play_places(3, 150, **options).not_sent, 0)
        with mock.patch.object(Eligibility, "is_eligible", ignore_homes_at_choice):
            self.assertGreater(play_places(3, 150, **options).not_sent, 0)

    def test_without_homes_and_evacuations_the_choices_are_as_without_the_rule(self):
        options = {"has_homes": False, "has_evacuations": False}
        play = play_places(4, 300, **options)
        with (
            mock.patch.object(Places, "may_serve", lambda *arguments: True),
            mock.patch.object(Places, "explain_refusal", lambda *arguments: None),
            mock.patch.object(direct_requests, "find_homes", lambda *arguments: None),
        ):
            before = play_places(4, 300, **options)
        self.assertEqual((play.chosen, play.statuses), (before.chosen, before.statuses))


class TestRefusals(unittest.TestCase):
    def test_a_request_that_no_upstream_may_serve_is_refused_at_once_with_the_reason(self):
        """Guards against callers who are told that all upstreams are full."""
        for zones, regions, reason in [
            (("z1", "z3"), frozenset({"west"}), NONE_IN_HOMES),
            (("z6",), NORTH, NONE_IN_HOMES),
            (("z1",), frozenset(), NO_COMMON_HOME),
        ]:
            with self.subTest(reason, zones=zones):
                upstreams = [build_upstream(z, zone=z) for z in zones]
                requests = build_requests(
                    build_policy(build_route()), upstreams, places=Places(REGION_BY_ZONE)
                )
                with mock.patch.object(direct_requests, "find_homes", lambda *a, r=regions: r):
                    responder = RecordingResponder()
                    requests.handle(build_inbound(), responder)
                self.assertEqual(responder.status, 503)
                self.assertIn(reason.encode(), responder.body)
                self.assertEqual(requests.refusals_by_reason[reason], 1)

    def test_full_upstreams_in_the_homes_are_reported_as_full(self):
        upstreams = [build_upstream("u1", zone="z1"), build_upstream("u2", zone="z3")]
        requests = build_requests(build_policy(build_route()), upstreams)
        placement = requests.placement
        placement.places.region_by_zone = REGION_BY_ZONE
        for _ in range(40):
            placement.begin("u1", 0, 1.0)
        requirements = _require(NORTH)
        refusal = placement.choose(requirements, 1.0)
        self.assertEqual(refusal, Refusal("all 1 upstreams are full", True))


class TestFindHomes(unittest.TestCase):
    def test_homes_of_route_and_workspace_both_bind(self):
        for route_homes, workspace_homes, is_public, expected in [
            (frozenset(), frozenset(), False, None),
            (NORTH, frozenset(), False, NORTH),
            (frozenset(), SOUTH, False, SOUTH),
            (NORTH | SOUTH, SOUTH, False, SOUTH),
            (NORTH, SOUTH, False, frozenset()),
            (NORTH, SOUTH, True, NORTH),
        ]:
            with self.subTest(route=route_homes, workspace=workspace_homes, is_public=is_public):
                route = build_route(is_public=is_public, allowed_regions=route_homes)
                workspace = Workspace("w", frozenset({"k"}), None, workspace_homes)
                policy = build_policy(route, (workspace,))
                found = find_homes(policy, "site", "/work/1", "k", route)
                self.assertEqual(found, expected)

    def test_a_route_that_is_gone_keeps_its_homes_for_requests_that_it_admitted(self):
        route = build_route(allowed_regions=NORTH)
        policy = build_policy(build_route(prefix="/other/"))
        self.assertEqual(find_homes(policy, "site", "/work/1", None, route), NORTH)


def _require(regions):
    return PlacementRequirements("ledger", "z1", allowed_regions=regions)


if __name__ == "__main__":
    unittest.main()
