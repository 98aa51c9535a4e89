"""Test the check of a configuration before it is published."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from daisystack.core.policy_check import Severity, check_policy, compare_policies
from daisystack.core.traffic import CallerLimits, Service, Share, TrafficPolicy, Workspace
from daisystack.testing.direct import build_engine_profile, build_policy, build_route
from daisystack.tests.on_platform.adapter import CONFIG

REGIONS = {"z1": "r1", "z2": "r2"}
ROOT = Path(__file__).resolve().parents[2]
GOOD = build_policy(
    build_route(is_public=False),
    (Workspace("w", frozenset({"k1"})), Workspace("v", frozenset({"k2"}))),
)
TIGHT = build_engine_profile(memory_tokens=100)


def change_route(**fields):
    return attrs.evolve(GOOD, routes=(attrs.evolve(GOOD.routes[0], **fields),))


def change_workspaces(*workspaces):
    return attrs.evolve(GOOD, workspaces=workspaces)


def add_service(**fields):
    return attrs.evolve(GOOD, services=GOOD.services | {"new": Service("new", 9, **fields)})


HOMES = {"allowed_regions": frozenset({"r1"})}
FAULTS = {
    "no host": (change_route(host=""), "error", "no host"),
    "prefix without slash": (change_route(prefix="/work"), "error", "slash"),
    "shadowed route": (
        attrs.evolve(GOOD, routes=(*GOOD.routes, attrs.evolve(GOOD.routes[0], name="b"))),
        "error",
        "only one matches",
    ),
    "unknown service": (change_route(shares=(Share("x", 1.0),)), "error", "not defined"),
    "no share": (change_route(shares=(Share("ledger", 0.0),)), "error", "gives no service"),
    "one share of 0": (
        change_route(shares=(Share("ledger", 0.0), Share("ledger", 1.0))),
        "warning",
        "no share",
    ),
    "no timeout": (change_route(timeout_s=0.0), "error", "timeout is 0"),
    "objective over timeout": (change_route(objective_s=3.0), "error", "above its timeout"),
    "pause over timeout": (change_route(max_pause_s=3.0), "warning", "longer than its timeout"),
    "resumable plain route": (change_route(is_resumable=True), "warning", "is resumable"),
    "unused service": (add_service(), "warning", "no route"),
    "cold without limit": (add_service(cold_start_s=3.0), "warning", "states no limit"),
    "limit without cold": (add_service(cold_limit_per_s=3.0), "warning", "not cold"),
    "tight memory": (add_service(engine=TIGHT), "error", "a typical request needs"),
    "no origin": (add_service(engine=TIGHT), "warning", "no origin"),
    "shared key": (
        change_workspaces(Workspace("a", frozenset({"k"})), Workspace("b", frozenset({"k"}))),
        "error",
        "shares 1 of its keys",
    ),
    "no key": (change_workspaces(Workspace("a", frozenset())), "warning", "holds no key"),
    "no workspace": (change_workspaces(), "error", "none holds a key"),
    "no list of workspaces": (
        attrs.evolve(change_workspaces(), requires_keys=False),
        "warning",
        "requests need no key",
    ),
    "no common region": (
        attrs.evolve(
            change_route(**HOMES),
            workspaces=(Workspace("a", frozenset({"k"}), None, frozenset({"r2"})),),
        ),
        "error",
        "no region in common",
    ),
    "unknown region": (
        change_route(allowed_regions=frozenset({"moon"})),
        "error",
        "where no zone lies",
    ),
    "one unknown region": (
        change_route(allowed_regions=frozenset({"moon", "r1"})),
        "warning",
        "allowed in moon",
    ),
    "idle below head": (
        attrs.evolve(GOOD, limits=CallerLimits(idle_timeout_s=1.0)),
        "warning",
        "idle connections",
    ),
    "no body": (
        attrs.evolve(GOOD, limits=CallerLimits(max_body_bytes=0)),
        "error",
        "max_body_bytes is 0",
    ),
}


class TestFindings(unittest.TestCase):
    def test_each_fault_is_found_and_a_sound_policy_has_none(self):
        self.assertEqual(check_policy(GOOD, REGIONS), [])
        for name, (policy, severity, text) in FAULTS.items():
            with self.subTest(name):
                found = check_policy(policy, REGIONS)
                self.assertIn(severity, [f.severity.value for f in found if text in f.message])

    # Keys in a report would reach whoever may read the logs of a build.
    def test_keys_are_never_shown(self):
        secret = Workspace("a", frozenset({"secret-key"}))
        before, after = change_workspaces(secret, Workspace("b", secret.keys)), GOOD
        shown = f"{check_policy(before, {})} {compare_policies(before, after)}"
        shown += f"{compare_policies(after, before)}"
        self.assertNotIn("secret-key", shown)

    def test_differences_name_what_was_added_removed_and_changed(self):
        after = attrs.evolve(
            change_route(timeout_s=9.0),
            version=2,
            services=GOOD.services | {"new": Service("new", 9)},
            workspaces=(Workspace("w", frozenset({"k1", "k3"})),),
        )
        found = {(d.change, d.location): d.detail for d in compare_policies(GOOD, after)}
        self.assertEqual(found[("changed", "version")], "1 to 2")
        self.assertIn("timeout_s: 2.0 to 9.0", found[("changed", "route work")])
        self.assertEqual(found[("changed", "workspace w")], "keys: 1 added, 0 removed")
        self.assertIn(("added", "service new"), found)
        self.assertIn(("removed", "workspace v"), found)
        opened = compare_policies(GOOD, attrs.evolve(GOOD, requires_keys=False))
        self.assertIn("requests need no key any more", [d.detail for d in opened])
        self.assertIn("no effect", compare_policies(after, GOOD)[0].detail)

    @settings(max_examples=50, deadline=None)
    @given(
        st.floats(0, 10),
        st.floats(0, 10),
        st.sampled_from(["/", "/a/", "a", "/a"]),
        st.lists(st.sampled_from(["ledger", "none"]), min_size=1, max_size=3),
    )
    def test_route_of_an_accepted_policy_is_found_and_leads_to_a_service(
        self, timeout_s, objective_s, prefix, services
    ):
        shares = tuple(Share(name, 1.0) for name in services)
        policy = change_route(
            timeout_s=timeout_s, objective_s=objective_s, prefix=prefix, shares=shares
        )
        if any(f.severity is Severity.ERROR for f in check_policy(policy, REGIONS)):
            return
        route = policy.find_route("site", prefix + "x")
        self.assertIn(route.choose_service(0.5), policy.services)
        self.assertIsInstance(policy, TrafficPolicy)


class TestCommand(unittest.TestCase):
    def run_check(self, documents, *flags):
        with tempfile.TemporaryDirectory() as directory:
            paths = []
            for number, document in enumerate(documents):
                paths.append(Path(directory) / f"{number}.json")
                paths[-1].write_text(document)
            against = ["--against", str(paths[1])] if len(paths) > 1 else []
            command = [sys.executable, "platform/check_config.py", str(paths[0]), *against, *flags]
            return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)

    def test_document_is_read_as_entries_read_it(self):
        document = json.dumps(CONFIG)
        newer = json.dumps(CONFIG | {"version": CONFIG["version"] + 1})
        broken = json.dumps(CONFIG | {"routes": [{"name": "r"}]})
        result = self.run_check([newer, document], "--json")
        rows = json.loads(result.stdout)
        self.assertEqual([d["location"] for d in rows["differences"]], ["version"])
        refused = self.run_check([broken])
        self.assertEqual(refused.returncode, 2)
        self.assertIn("routes[0]", refused.stderr)
