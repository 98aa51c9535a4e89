"""Hold back what the config service says at start until peers have been asked."""

from __future__ import annotations

from attrs import define, field

from daisystack.core.config_keeper import PublishedDocument

__all__ = ["Bootstrap"]

BOOTSTRAP_TIMEOUT_S = 3.0


@define
class Bootstrap:
    """Collect first offers and release the newest.

    A service that serves stale data must not send a restarted process back to a revision that its
    peers have left behind, so the service alone is believed only when no peer answers in time.
    """

    pending_peers: set[str]
    started_s: float
    _newest: PublishedDocument | None = field(default=None)
    _is_complete: bool = False

    def mark_peer_done(self, peer: str) -> None:
        """Record that a peer has answered or failed."""
        self.pending_peers.discard(peer)

    def offer(self, published: PublishedDocument) -> None:
        """Keep the newest offer."""
        if self._newest is None or published.revision > self._newest.revision:
            self._newest = published

    def is_complete(self, now_s: float) -> bool:
        """Say whether all peers were asked or the wait has passed."""
        if not self.pending_peers or now_s - self.started_s >= BOOTSTRAP_TIMEOUT_S:
            self._is_complete = True
        return self._is_complete

    def pop_newest(self) -> PublishedDocument | None:
        """Return the newest offer held, once."""
        newest, self._newest = self._newest, None
        return newest
