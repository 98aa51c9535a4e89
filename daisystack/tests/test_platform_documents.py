"""Test decoding of published values: configuration, weight versions and upstreams."""

import json
import unittest

from daisystack.backends import InvalidPublication
from daisystack.core.evacuations import ZoneEvacuation
from daisystack.core.targets import WeightTarget
from daisystack.core.traffic import RequestKind
from daisystack.tests.on_platform.adapter import (
    CONFIG,
    SERVER,
    read_publication,
)


def _without(name):
    return {key: value for key, value in CONFIG.items() if key != name}


class TestConfiguration(unittest.TestCase):
    def test_configuration_is_decoded(self):
        policy = read_publication("op/config", CONFIG)
        route = policy.find_route("a.example", "/x/1")
        self.assertEqual((route.kind, route.timeout_s), (RequestKind.STREAM, 6.0))
        self.assertEqual((route.max_attempts, route.is_repeatable), (2, True))
        self.assertEqual(len(policy.find_route("b.example", "/q").shares), 2)
        self.assertEqual(policy.find_workspace("k2").name, "t1")
        self.assertIsNone(policy.find_workspace("k3"))
        engine = policy.engine_of("pool")
        self.assertEqual((engine.layers, engine.load_s), (16, 0.3))
        self.assertAlmostEqual(engine.step_s, 0.00673)
        origin = policy.origins()[0]
        self.assertEqual((origin.origin_address, origin.zone), ("172.20.0.3:8006", "mtl-a"))
        self.assertEqual((policy.limits.max_head_bytes, policy.limits.idle_timeout_s), (100, 1.5))

    def test_invalid_configuration_is_refused_with_its_location(self):
        invalid = json.loads(json.dumps(CONFIG))
        invalid["routes"][1]["kind"] = "other"
        for value, expected in [
            (b"{", "invalid JSON"),
            (b"[]", "allowed is an object"),
            (b"\xff\xfe", "invalid JSON"),
            ({"version": "7"}, "version"),
            (invalid, r"routes[1].kind"),
            # An absent list is not an empty one, by which nothing would be served.
            (_without("routes"), "routes"),
            (_without("services"), "services"),
        ]:
            with self.subTest(expected), self.assertRaises(InvalidPublication) as caught:
                read_publication("op/config", value)
            self.assertIn(expected, str(caught.exception))

    # CONFIG: an empty list of tenants was read as none, which lets every request through.
    def test_only_a_configuration_without_tenants_needs_no_keys(self):
        absent = _without("tenants")
        for config, requires_keys in [(absent, False), (absent | {"tenants": []}, True)]:
            with self.subTest(requires_keys=requires_keys):
                policy = read_publication("op/config", config)
                self.assertEqual(policy.requires_keys, requires_keys)

    def test_a_version_key_is_decoded_as_a_target(self):
        self.assertEqual(
            read_publication("op/version/m", {"model": "m", "version": 2}), WeightTarget("m", 2)
        )

    def test_a_key_alone_orders_an_evacuation(self):
        """Guards against an evacuation that ends because its value can't be read."""
        for value in ({}, b"{", b""):
            with self.subTest(value=value):
                evacuation = read_publication("op/evacuate/mtl-a", value)
                self.assertEqual(evacuation, ZoneEvacuation("mtl-a"))
        with self.assertRaises(InvalidPublication):
            read_publication("op/evacuate/", {})

    def test_unknown_keys_are_ignored(self):
        self.assertIsNone(read_publication("op/another", {}))


class TestUpstreams(unittest.TestCase):
    def test_a_server_entry_is_decoded_as_an_upstream(self):
        upstream = read_publication("servers/i-1", SERVER)
        self.assertEqual((upstream.id, upstream.is_ready, upstream.version), ("i-1", True, 3))
        self.assertEqual(
            (upstream.slots, upstream.started_ms, upstream.has_engine), (16, 1700000000000, True)
        )

    def test_a_draining_upstream_is_not_ready(self):
        self.assertFalse(read_publication("servers/i-1", SERVER | {"state": "draining"}).is_ready)

    def test_invalid_server_entries_are_refused(self):
        cases = [
            SERVER | {"state": "leaving"},
            SERVER | {"slots": "16"},
            SERVER | {"slots": True},
            SERVER | {"address": "localhost:1"},
            SERVER | {"address": 5},
            SERVER | {"born": "now"},
            SERVER | {"version": 1},
            SERVER | {"seq": -1},
            SERVER | {"layers": "all"},
            SERVER | {"models": {"name": "m"}},
            {k: v for k, v in SERVER.items() if k != "zone"},
            {k: v for k, v in SERVER.items() if k != "seq"},
            b"\x00\xff",
            b"null",
        ]
        for value in cases:
            with self.subTest(value), self.assertRaises(InvalidPublication):
                read_publication("servers/i-1", value)

    def test_a_version_counts_only_if_every_layer_has_it(self):
        cases = [
            ([{"from": 0, "to": 16, "version": 3}], 3),
            ({"from": 0, "to": 16, "version": 3}, 3),
            ([{"from": 8, "to": 16, "version": 3}, {"from": 0, "to": 8, "version": 3}], 3),
            ([{"from": 0, "to": 8, "version": 3}], 0),
            ([{"from": 1, "to": 16, "version": 3}], 0),
            ([{"from": 0, "to": 8, "version": 3}, {"from": 8, "to": 16, "version": 2}], 0),
            ([{"from": 0, "to": 8, "version": 3}, {"from": 9, "to": 16, "version": 3}], 0),
            ([], 0),
            (None, 0),
        ]
        for layers, version in cases:
            with self.subTest(layers):
                self.assertEqual(
                    read_publication("servers/i-1", SERVER | {"layers": layers}).version, version
                )
