"""Test that decisions take their figures from settings and published documents.

The deployments are made up: other names, zones, counts, bounds, slots, kinds of request and keys.
"""

import json
import random
import unittest

import attrs

from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.mirror import Change
from daisystack.core.placement import Placement, PlacementRequirements, Refusal
from daisystack.core.readers import MAX_READER_RANK, max_mirror_age_s, mirror_bound_s
from daisystack.core.retries import WindowedBudget
from daisystack.core.traffic import RequestKind
from daisystack.core.upstream_pauses import UpstreamPauses
from daisystack.core.weight_pieces import MAX_ORIGIN_CONNECTIONS, HolderPlan, members_by_zone
from daisystack.runtime.direct_entry import KEY_AGE_MARGIN_S
from daisystack.testing.gossip import GossipFleet
from daisystack.tests.on_platform.adapter import CONFIG, DocumentReader, parse_lines, read_entry


@attrs.frozen
class Deployment:
    name: str
    zones: int
    entries: int
    slots: int
    config_apply_ms: int
    drain_ms: int
    revoke_ms: int
    slack: int
    origin_connections: int
    kind: str
    timeout_ms: int

    def settings(self):
        lines = {
            "node_name": f"{self.name}-machine-7",
            "ip": "10.9.0.7",
            "zone": f"{self.name}-2",
            "region": self.name,
            "listen.front": "10.9.0.7:9105",
            "listen.ready": "10.9.0.7:9102",
            "listen.control": "10.9.0.7:9100",
            "listen.directory": "10.9.0.7:9109",
            "port_range": "9200,9215",
            "seeds": "",
            "platform.address": "10.222.0.1:7171",
            "bounds.config_apply_ms": self.config_apply_ms,
            "bounds.drain_ms": self.drain_ms,
            "bounds.revoke_ms": self.revoke_ms,
            "bounds.budget_slack": self.slack,
        }
        return read_entry(parse_lines("".join(f"{k}={v}\n" for k, v in lines.items())))[0]

    def read(self):
        """Return the traffic policy and the upstreams that the documents describe."""
        config = json.loads(json.dumps(CONFIG))
        route = config["routes"][0]
        route |= {"name": "only", "host": f"{self.name}.test", "prefix": "/do/"}
        route |= {"kind": self.kind, "timeout_ms": self.timeout_ms, "service": self.name}
        route.pop("traffic_split", None)
        config["routes"] = [route]
        service = {"name": self.name, "max_connections": self.origin_connections}
        config["services"] = [service | {"origin": "10.8.0.1:80", "zone": f"{self.name}-0"}]
        config["tenants"] = [{"name": f"{self.name} team", "api_keys": [f"key of {self.name}"]}]
        reader = DocumentReader()
        policy = reader.read(Change("op/config", 1, json.dumps(config).encode()))
        upstreams = []
        for zone in range(self.zones):
            entry = {"service": self.name, "address": f"10.7.{zone}.1:80", "slots": self.slots}
            entry |= {"zone": f"{self.name}-{zone}", "version": "9", "state": "ready"}
            entry |= {"cold_left_ms": 0, "seq": 1, "born": 1}
            key = f"servers/{self.name}-{zone}"
            upstreams.append(reader.read(Change(key, 2, json.dumps(entry).encode())))
        return policy, upstreams


DEPLOYMENTS = (
    Deployment("solo", 1, 2, 3, 2000, 2000, 5000, 10, 4, "unsafe", 700),
    Deployment("pair", 2, 9, 40, 1000, 3000, 2500, 60, 16, "safe", 90_000),
    Deployment("wide", 7, 60, 8, 9000, 6000, 20_000, 454, 48, "streaming", 3_000),
)
KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}


class TestDeployments(unittest.TestCase):
    def each(self):
        for deployment in DEPLOYMENTS:
            with self.subTest(deployment.name):
                yield deployment

    def test_every_reader_stays_within_the_bounds_of_publications_and_keys(self):
        for deployment in self.each():
            settings = deployment.settings()
            bound_s = min(deployment.config_apply_ms, deployment.drain_ms) / 1000
            self.assertEqual(settings.publication_bound_s, bound_s)
            max_key_age_s = settings.revoke_bound_s - KEY_AGE_MARGIN_S
            mirror_s = mirror_bound_s(settings.publication_bound_s, max_key_age_s)
            for read_latency_s in (0.004, 10.0):
                age_s = max_mirror_age_s(MAX_READER_RANK, read_latency_s, mirror_s)
                self.assertLess(age_s, max_key_age_s)
                if read_latency_s < 1.0:
                    self.assertLess(age_s, bound_s)

    def test_routes_keys_and_timeouts_are_those_published(self):
        for deployment in self.each():
            policy, _ = deployment.read()
            route = policy.find_route(f"{deployment.name}.test", "/do/it")
            self.assertEqual(route.kind, KINDS[deployment.kind])
            self.assertEqual(route.timeout_s, deployment.timeout_ms / 1000)
            workspace = policy.find_workspace(f"key of {deployment.name}")
            self.assertEqual(workspace.name, f"{deployment.name} team")
            self.assertIsNone(policy.find_route("another.test", "/do/it"))

    def test_upstreams_are_filled_up_to_the_slots_that_they_publish(self):
        for deployment in self.each():
            _, upstreams = deployment.read()
            placement = Placement(random.Random(1), EngineStatusTable())
            for upstream in upstreams:
                placement.update_upstream(upstream)
            requirements = PlacementRequirements(deployment.name, f"{deployment.name}-0")
            sent = 0
            while not isinstance(found := placement.choose(requirements, 0.0), Refusal):
                placement.begin(found.id, 0, 0.0)
                sent += 1
            # As many may wait at an upstream as it has slots.
            self.assertEqual(sent, 2 * deployment.slots * deployment.zones)

    def test_entries_together_stay_within_the_origin_s_connections(self):
        for deployment in self.each():
            policy, _ = deployment.read()
            names = [
                (f"m{i}", f"{deployment.name}-{i % deployment.zones}")
                for i in range(deployment.entries)
            ]
            cap = policy.origins()[0].max_connections
            plan = HolderPlan(policy.origins()[0].zone, members_by_zone(names), cap)
            gateways = [g for zone in plan.zones for g in plan.gateways(zone)]
            # One gateway a zone is the least with which every zone reaches the origin.
            allowed = max(deployment.zones, cap // MAX_ORIGIN_CONNECTIONS)
            self.assertLessEqual(len(gateways), allowed)
            self.assertTrue(all(plan.gateways(zone) for zone in plan.zones))

    def test_all_entries_together_stay_within_the_retry_slack(self):
        for deployment in self.each():
            settings = deployment.settings()
            sent = 0
            for _ in range(deployment.entries):
                budget = WindowedBudget(0.0, settings.retry_slack, settings.retry_window_s)
                while budget.try_consume(deployment.entries, 1.0):
                    sent += 1
            self.assertLessEqual(sent, deployment.slack)

    def test_leaving_upstreams_are_blocked_before_the_drain_bound(self):
        for deployment in self.each():
            bound_s = deployment.settings().publication_bound_s
            pauses = UpstreamPauses(bound_s)
            pauses.record_leaving("u", 1, 0.0)
            self.assertTrue(pauses.is_blocked("u", 1, deployment.drain_ms / 1000 - 0.3))

    def test_entries_of_any_number_of_zones_know_each_other(self):
        for deployment in self.each():
            fleet = GossipFleet(deployment.entries, deployment.zones)
            fleet.introduce_all()
            fleet.run(4.0)
            for entry in fleet.entries.values():
                count = entry.membership.entry_count(fleet.now_s)
                self.assertEqual(count, deployment.entries)


if __name__ == "__main__":
    unittest.main()
