"""Test how copies of published values travel between peers."""

import unittest
import zlib

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from daisystack.core.mirror import Change, Delta, Mirror, Snapshot
from daisystack.runtime.clock import now_s
from daisystack.runtime.mesh_handler import MeshHandler
from daisystack.testing.fleet import build_config
from daisystack.wire import mesh
from daisystack.wire.gen import ttypes


@attrs.frozen
class MeshOfOneMirror:
    mirrors: tuple


def build_handler(value):
    mirror = Mirror("op/")
    mirror.apply_snapshot(Snapshot((Change("op/a", 4, value),), 7, now_s()))
    return MeshHandler(MeshOfOneMirror((mirror,)), None)


class TestPackedValues(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(st.tuples(st.binary(max_size=64), st.integers(0, 200)), max_size=4))
    def test_values_round_trip_packed_or_not(self, parts):
        changes = tuple(Change(f"op/{i}", i + 1, p * n) for i, (p, n) in enumerate(parts))
        changes += (Change("op/gone", 99, None),)
        delta = Delta(changes, 100, 0.0, False)
        for accepts_packed in (True, False):
            wire = mesh.delta_to_wire(delta, accepts_packed)
            self.assertEqual(mesh.delta_from_wire(wire).changes, changes)

    def test_a_configuration_of_many_routes_travels_short(self):
        """Guards against documents that fill the links between zones."""
        value = build_config(17, 1840)
        delta = build_handler(value).mirror("op/", 0, 0, [], True)
        self.assertLess(10 * len(delta.items[0].value), len(value))

    def test_a_peer_of_an_earlier_release_gets_plain_values(self):
        value = build_config(17, 240)
        delta = build_handler(value).mirror("op/", 0, 0, None, None)
        self.assertEqual((delta.items[0].value, delta.items[0].packed), (value, False))

    def test_broken_and_endless_values_are_refused(self):
        endless = zlib.compress(bytes(mesh.MAX_VALUE_BYTES + 1))
        for packed in (b"no", zlib.compress(b"x" * 9999)[:-3], endless):
            item = ttypes.MirrorItem("op/a", 4, False, packed, True)
            with self.assertRaises(ValueError):
                mesh.delta_from_wire(ttypes.MirrorDelta(7, 0, False, [item], 0))


if __name__ == "__main__":
    unittest.main()
