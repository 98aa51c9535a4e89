"""Handle calls from other processes of the mesh."""

from __future__ import annotations

from attrs import define

from daisystack.runtime.clock import now_s
from daisystack.runtime.mesh_task import MeshTask
from daisystack.runtime.piece_task import PieceTask
from daisystack.wire import mesh
from daisystack.wire.gen import ttypes

__all__ = ["MeshHandler"]

MS_PER_S = 1000
# No peer has a reason to wait longer for a piece.
MAX_WAIT_S = 5.0


@define(eq=False)
class MeshHandler:
    """Handle the thrift calls of peers."""

    mesh_task: MeshTask
    pieces: PieceTask

    def gossip(self, mine: ttypes.MeshNews) -> ttypes.MeshNews:
        """Apply a peer's news and return the local news from before it was applied."""
        answer = self.mesh_task.build_answer(mine, now_s())
        self.mesh_task.apply_news(mine, None)
        return answer

    def mirror(
        self,
        prefix: str,
        after_revision: int,
        era: int,
        held: list[int] | None = None,
        accepts_packed: bool | None = None,
    ) -> ttypes.MirrorDelta:
        """Return the changes of a mirror after a revision of an era; none for an unknown prefix.

        The values of the held revisions are left out. Peers of an earlier release state neither
        these nor whether they accept packed values.
        """
        for mirror in self.mesh_task.mirrors:
            if mirror.prefix == prefix:
                delta = mirror.delta_after(after_revision, now_s(), era, held or ())
                return mesh.delta_to_wire(delta, bool(accepts_packed))
        return ttypes.MirrorDelta(0, mesh.MAX_AGE_MS, False, [], 0)

    def digests(
        self, model: str, version: int, wait_ms: int, rejected: str | None = None
    ) -> list[str]:
        """Return the digests of the pieces of a version; wait for them at most MAX_WAIT_S.

        rejected is the fingerprint of a list that the caller has found to be wrong.
        """
        wait_s = min(MAX_WAIT_S, wait_ms / MS_PER_S)
        return self.pieces.digests(model, version, wait_s, rejected)

    def piece(self, ask: ttypes.PieceAsk) -> ttypes.Piece:
        """Return a range of a piece; wait for it as long as requested, at most MAX_WAIT_S."""
        wait_s = min(MAX_WAIT_S, ask.wait_ms / MS_PER_S)
        body = self.pieces.piece(ask.model, ask.version, ask.index, wait_s)
        if body is None:
            return ttypes.Piece(False, b"", 0)
        end = ask.offset_bytes + ask.length_bytes if ask.length_bytes else len(body)
        return ttypes.Piece(True, body[ask.offset_bytes : end], len(body))
