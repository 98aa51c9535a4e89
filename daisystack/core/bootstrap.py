"""Hold back what the config service says at start until peers have been asked."""

from __future__ import annotations

from attrs import define, field

from daisystack.core.config_keeper import PublishedDocument

__all__ = ["Bootstrap"]

BOOT_WAIT_S = 3.0


@define
class Bootstrap:
    """Collect first offers and release the newest.

    A service that serves stale data must not send a restarted process back to a revision that its
    peers have left behind, so the service alone is believed only when no peer answers in time.
    """

    awaited_peers: set[str]
    started_s: float
    _best: PublishedDocument | None = field(default=None)
    _is_over: bool = False

    def peer_done(self, peer: str) -> None:
        """Record that a peer has answered or failed."""
        self.awaited_peers.discard(peer)

    def hold(self, published: PublishedDocument) -> None:
        """Keep the newest offer."""
        if self._best is None or published.revision > self._best.revision:
            self._best = published

    def is_over(self, now_s: float) -> bool:
        """Say whether all peers were asked or the wait has passed."""
        if not self.awaited_peers or now_s - self.started_s >= BOOT_WAIT_S:
            self._is_over = True
        return self._is_over

    def release(self) -> PublishedDocument | None:
        """Return the newest offer held, once."""
        best, self._best = self._best, None
        return best
