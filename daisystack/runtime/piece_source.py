"""Query entries for the pieces of a version and find the entry that holds each."""

from __future__ import annotations

import logging
from collections.abc import Callable

from attrs import define

from daisystack.core.membership import Member
from daisystack.core.targets import WeightTarget
from daisystack.core.weight_pieces import HolderPlan, PieceList, members_by_zone
from daisystack.runtime.events import WeightSourceFailed
from daisystack.runtime.logs import log_event
from daisystack.runtime.peer_link import PeerError, PeerLink, mesh_link
from daisystack.runtime.piece_task import has_piece

__all__ = ["PieceSource"]

PEER_TIMEOUT_S = 4.0
# Entries pull pieces in order, so this one is available first.
FIRST_PIECE = 0
# Longest wait for the list of a version; another version may become wanted meanwhile.
LIST_WAIT_S = 0.3
MS_PER_S = 1000

_logger = logging.getLogger("daisystack.agent")


@define(eq=False)
class PieceSource:
    """Entries as the source of pieces for one zone."""

    zone: str
    # The live entries, those of the zone first.
    entries: Callable[[], list[Member]]
    open_link: Callable[[str, float], PeerLink] = mesh_link
    _poll_count: int = 0

    def find_list(self, target: WeightTarget, rejected: str = "") -> PieceList | None:
        """Return the pieces of a version from an entry that knows them, else None.

        rejected is the fingerprint of a list that pieces did not match, which is told to the entry.

        The agents of a zone query the same entry, so that the others need not fetch the list, and
        another one only if that one does not answer in time.
        """
        first = self.holder(FIRST_PIECE)
        if first is None:
            return None
        pieces = self._request_list(first, target, LIST_WAIT_S, rejected)
        if pieces is not None:
            return pieces
        others = [member for member in self._nearby() if member.id != first.id]
        self._poll_count += 1
        if not others:
            return None
        source = others[self._poll_count % len(others)]
        return self._request_list(source, target, rejected=rejected)

    def poll_list(self, target: WeightTarget) -> PieceList | None:
        """Return a version's pieces if the next entry knows them and the first is available.

        Calls go through the live entries in rotation.
        """
        entries = self._nearby()
        if not entries:
            return None
        self._poll_count += 1
        pieces = self._request_list(entries[self._poll_count % len(entries)], target)
        return pieces if pieces is not None and self.is_available(pieces) else None

    def is_available(self, pieces: PieceList) -> bool:
        """Return whether an entry holds a version's first piece, and not only its list."""
        member = self.holder(FIRST_PIECE)
        if member is None:
            return False
        link = self.open_link(member.peer_address, PEER_TIMEOUT_S)
        try:
            return has_piece(link, pieces.model, pieces.version, FIRST_PIECE, 0.0)
        except PeerError as error:
            log_event(_logger, WeightSourceFailed(member.id, str(error)))
            return False
        finally:
            link.close()

    def holder(self, index: int) -> Member | None:
        """Return the live entry that holds a piece for this zone, or None if there is none."""
        entries = self.entries()
        plan = HolderPlan(self.zone, members_by_zone([(m.id, m.zone) for m in entries]))
        holder_id = plan.nearest_holder(self.zone, index)
        return next((m for m in entries if m.id == holder_id), None)

    def _nearby(self) -> list[Member]:
        """Return the live entries of the zone, or those of all zones if it has none."""
        entries = self.entries()
        return [member for member in entries if member.zone == self.zone] or entries

    def _request_list(
        self, member: Member, target: WeightTarget, wait_s: float = 0.0, rejected: str = ""
    ) -> PieceList | None:
        link = self.open_link(member.peer_address, PEER_TIMEOUT_S)
        try:
            wait_ms = int(wait_s * MS_PER_S)
            digests = link.call("digests", target.model, target.version, wait_ms, rejected)
            return PieceList(target.model, target.version, tuple(digests)) if digests else None
        except (PeerError, ValueError) as error:
            log_event(_logger, WeightSourceFailed(member.id, str(error)))
            return None
        finally:
            link.close()
