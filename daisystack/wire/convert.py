"""Convert between thrift messages and the types of daisystack.core."""

from __future__ import annotations

from daisystack.core.peers import PeerStatus
from daisystack.core.register import ModelRef
from daisystack.wire.gen import ttypes

_ONE = ord("1")

__all__ = ["pack_bits", "status_from_wire", "status_to_wire", "unpack_bits"]


def status_to_wire(status: PeerStatus) -> ttypes.Status:
    """Return the thrift message of a status."""
    return ttypes.Status(
        instance_id=status.instance_id,
        incarnation=status.incarnation,
        uptime_s=status.uptime_s,
        revision=status.revision,
        leaving=status.leaving,
        gate_open=status.gate_open,
        serving=[ttypes.Weights(*_ref_fields(ref)) for ref in sorted(status.serving)],
        in_flight=status.in_flight,
        capacity=status.capacity,
        service_age_s=status.service_age_s,
        chunks_held=status.chunks_held,
        chunks_wanted=status.chunks_wanted,
        loading=status.loading,
        crash_counts=[ttypes.CrashCount(*pair) for pair in status.crash_counts],
    )


def status_from_wire(wire: ttypes.Status) -> PeerStatus:
    """Return the status that a thrift message contains."""
    return PeerStatus(
        instance_id=wire.instance_id,
        incarnation=wire.incarnation,
        uptime_s=wire.uptime_s,
        revision=wire.revision,
        leaving=wire.leaving,
        gate_open=wire.gate_open,
        serving=frozenset(
            ModelRef(ref.model, ref.version, ref.manifest_digest) for ref in wire.serving
        ),
        in_flight=wire.in_flight,
        capacity=wire.capacity,
        service_age_s=wire.service_age_s,
        chunks_held=wire.chunks_held,
        chunks_wanted=wire.chunks_wanted,
        loading=wire.loading,
        crash_counts=tuple((count.fingerprint, count.deaths) for count in wire.crash_counts),
    )


def pack_bits(indexes: frozenset[int], size: int) -> bytes:
    """Return chunk indexes as a bit set of size bits, most significant bit first."""
    size_bytes = (size + 7) // 8
    digits = bytearray(b"0") * (size_bytes * 8)
    for index in indexes:
        digits[index] = _ONE
    # Parsing a string of binary digits is much faster than setting single bits.
    return int(digits or b"0", 2).to_bytes(size_bytes, "big")


def unpack_bits(bits: bytes) -> list[int]:
    """Return the indexes of the set bits in ascending order."""
    digits = f"{int.from_bytes(bits, 'big'):0{len(bits) * 8}b}"
    return [index for index, digit in enumerate(digits) if digit == "1"]


def _ref_fields(ref: ModelRef) -> tuple[str, str, str]:
    return ref.model, ref.version, ref.manifest_digest
