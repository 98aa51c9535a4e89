"""Delay the first configuration after a start until the peers have been queried."""

from __future__ import annotations

from attrs import define, field

from daisystack.core.config_keeper import PublishedDocument

__all__ = ["Bootstrap"]

BOOTSTRAP_TIMEOUT_S = 3.0


@define
class Bootstrap:
    """Collect the documents offered at startup and return the newest one.

    The config service may serve stale data. A restarted process must not go back to a revision
    older than the one its peers use, so a document is applied only after every peer has answered
    or failed, or after BOOTSTRAP_TIMEOUT_S.
    """

    pending_peers: set[str]
    started_s: float
    _newest: PublishedDocument | None = field(default=None)
    _is_complete: bool = False

    def mark_peer_done(self, peer: str) -> None:
        """Record that a peer has answered or that the request to it failed."""
        self.pending_peers.discard(peer)

    def offer(self, published: PublishedDocument) -> None:
        """Keep the document if its revision is the highest offered so far."""
        if self._newest is None or published.revision > self._newest.revision:
            self._newest = published

    def is_complete(self, now_s: float) -> bool:
        """Return whether all peers are done or the timeout has passed; stays true once true."""
        if not self.pending_peers or now_s - self.started_s >= BOOTSTRAP_TIMEOUT_S:
            self._is_complete = True
        return self._is_complete

    def pop_newest(self) -> PublishedDocument | None:
        """Return the newest offered document and clear it; None if there is none."""
        newest, self._newest = self._newest, None
        return newest
