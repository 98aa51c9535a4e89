"""Choose the entry addresses that are returned to callers."""

from __future__ import annotations

from attrs import frozen

from daisystack.core.peers import PeerState, PeerTable
from daisystack.core.register import Instance, SiteDocument

__all__ = ["EntryAddress", "list_entry_addresses"]


@frozen
class EntryAddress:
    """Address of an entry that a caller may use."""

    instance: str
    address: str
    zone: str


def list_entry_addresses(
    document: SiteDocument, own_id: str, leaving: bool, zone: str, peers: PeerTable, now_s: float
) -> list[EntryAddress]:
    """Return the usable entries, the caller's zone first, then its region.

    Entries that are leaving or not known to be alive are left out.
    """
    usable = [
        entry
        for entry in document.entries
        if (not leaving if entry.id == own_id else _is_usable(entry, peers, now_s))
    ]
    region = document.regions_by_zone.get(zone)
    usable.sort(key=lambda entry: (_distance(document, entry, zone, region), entry.id))
    return [EntryAddress(entry.id, entry.http_address, entry.zone) for entry in usable]


def _is_usable(entry: Instance, peers: PeerTable, now_s: float) -> bool:
    status = peers.status(entry.id)
    if status is None or status.leaving:
        return False
    return peers.state(entry.id, now_s) is PeerState.ALIVE


def _distance(document: SiteDocument, entry: Instance, zone: str, region: str | None) -> int:
    if entry.zone == zone:
        return 0
    return 1 if document.region_of(entry) == region else 2
