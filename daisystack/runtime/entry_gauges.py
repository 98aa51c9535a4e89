"""Read the gauges of an entry that sends requests directly to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from daisystack.runtime.metrics_server import Sample

if TYPE_CHECKING:
    from daisystack.runtime.direct_entry import DirectEntry

__all__ = ["read_gauges"]


def read_gauges(entry: DirectEntry, now_s: float) -> list[Sample]:
    """Return the present value of each gauge."""
    return [
        *_read_state(entry, now_s),
        *_read_requests(entry),
        *_read_weights(entry),
        *_read_upstreams(entry, now_s),
    ]


def _read_state(entry: DirectEntry, now_s: float) -> list[Sample]:
    """Return what the entry believes, and how old that is."""
    policy = entry.published.policy
    mirrors = entry.mirrors
    return [
        (
            "daisystack_belief_age_operator_seconds",
            "Age of the mirror of operator",
            mirrors[entry.operator_prefix].age_s(now_s),
        ),
        (
            "daisystack_belief_age_upstreams_seconds",
            "Age of the mirror of upstreams",
            mirrors[entry.upstream_prefix].age_s(now_s),
        ),
        ("daisystack_policy_version", "Version in force", policy.version if policy else 0),
        ("daisystack_ready", "Whether callers may be sent here", float(entry.is_ready)),
        ("daisystack_live_entries", "Other entries alive", len(entry.mesh.live_entries(now_s))),
        ("daisystack_store_calls", "Calls to the store", sum(t.calls for t in entry.mirror_tasks)),
        ("daisystack_mesh_exchanges", "Exchanges of news", entry.mesh.exchanges),
        (
            "daisystack_directory_outside_homes",
            "Answers that name entries outside a host's homes",
            entry.directory.answers_outside,
        ),
    ]


def _read_requests(entry: DirectEntry) -> list[Sample]:
    """Return what is in progress, held and refused."""
    requests = entry.requests
    crashes = requests.crashes
    held_parts = crashes.suspects.held_parts
    return [
        ("daisystack_in_progress", "Requests in progress", entry.server.in_progress),
        ("daisystack_held_bytes", "Bytes held of bodies", requests.held.held_bytes),
        (
            "daisystack_held_bytes_turned_away",
            "Times that bytes were not held for lack of room",
            requests.held.turned_away,
        ),
        (
            "daisystack_call_bytes_turned_away",
            "Times that responses to own calls were not held for lack of room",
            entry.calls_held.turned_away,
        ),
        ("daisystack_retries_left", "Retries left in the window", requests.retries_left()),
        ("daisystack_crashes_counted", "Crashes counted", crashes.crashes_counted),
        ("daisystack_requests_held", "Requests held", crashes.requests_held),
        ("daisystack_parts_held", "Parts of prompts that are held", len(held_parts)),
        ("daisystack_outdated_refused", "Requests refused on old copies", entry.gate.refused),
        *(
            (
                "daisystack_place_refusals",
                "Requests refused because of where the upstreams lie",
                count,
                {"reason": reason},
            )
            for reason, count in requests.refusals_by_reason.items()
        ),
    ]


def _read_weights(entry: DirectEntry) -> list[Sample]:
    pieces = entry.pieces
    return [
        ("daisystack_piece_bytes", "Memory of pieces held", pieces.cache.held_bytes),
        ("daisystack_origin_bytes", "Bytes from the origin", pieces.origin_bytes),
        ("daisystack_peer_bytes", "Piece bytes from entries", pieces.peer_bytes),
        ("daisystack_agent_bytes", "Piece bytes from agents", pieces.agent_bytes),
    ]


def _read_upstreams(entry: DirectEntry, now_s: float) -> list[Sample]:
    """Return which upstreams get fewer requests than others, or none."""
    placement = entry.placement
    limited = placement.shares.limits.limited()
    return [
        (
            "daisystack_evacuated_zones",
            "Zones whose upstreams get no requests",
            len(placement.places.evacuations.zones),
        ),
        ("daisystack_cold_upstreams", "Cold upstreams", len(placement.cold.cold(now_s))),
        (
            "daisystack_cold_passed_over",
            "Times that a cold upstream got no request as this entry's part was used up",
            placement.cold.passed_over,
        ),
        *(
            (
                "daisystack_rate_limit_per_second",
                "Requests per second that an upstream takes from all entries",
                limit_per_s,
                {"upstream": upstream_id},
            )
            for (upstream_id, _), limit_per_s in limited.items()
        ),
    ]
