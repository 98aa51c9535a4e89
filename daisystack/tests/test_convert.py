import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from daisystack.core.register import ModelRef
from daisystack.testing import build_status
from daisystack.wire.convert import pack_bits, status_from_wire, status_to_wire, unpack_bits


class TestConvert(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None)
    @given(st.integers(1, 200), st.sets(st.integers(0, 199)))
    def test_packed_bits_round_trip(self, size, candidates):
        indexes = frozenset(index for index in candidates if index < size)
        packed = pack_bits(indexes, size)
        self.assertEqual((len(packed), unpack_bits(packed)), ((size + 7) // 8, sorted(indexes)))

    def test_the_first_chunk_is_the_most_significant_bit(self):
        self.assertEqual(pack_bits(frozenset({0, 9}), 10), b"\x80\x40")
        self.assertEqual(pack_bits(frozenset(), 0), b"")
        self.assertEqual(unpack_bits(b""), [])

    def test_a_status_round_trips(self):
        status = build_status(
            "m1",
            serving=frozenset({ModelRef("m", "a", "0" * 64), ModelRef("x", "1", "1" * 64)}),
            crash_counts=(("f", 1),),
            service_age_s=1.5,
            leaving=True,
            loading=True,
        )
        self.assertEqual(status_from_wire(status_to_wire(status)), status)
