"""Keep what entries have counted of crashes, for entries that start again."""

from __future__ import annotations

from attrs import define, field

from daisystack.core.crash_hold import CrashHold, EntryCrashCount
from daisystack.core.crash_suspects import CrashSuspects, PartEvidence

__all__ = ["CrashMemory"]


@define(eq=False)
class CrashMemory:
    """Crashes that others have counted, as a process that sends no requests keeps them.

    All entries may start again at once, and would each forget them.
    """

    hold: CrashHold = field(factory=CrashHold)
    suspects: CrashSuspects = field(factory=CrashSuspects)

    def apply_counts(self, reported: tuple[EntryCrashCount, ...], now_s: float) -> None:
        """Add the crash counts that an entry knows."""
        self.hold.merge(reported, now_s)

    def apply_parts(self, reported: tuple[PartEvidence, ...], now_s: float) -> None:
        """Add what an entry knows of the parts of prompts."""
        self.suspects.merge(reported, now_s)
