"""Decide whether copies of published documents are recent enough for a request."""

from __future__ import annotations

import enum

__all__ = ["BeliefState", "evaluate_belief"]


class BeliefState(enum.Enum):
    """Whether a copy may be used for a request."""

    CURRENT = "current"
    # Older than the bound although the store answers: it may lack a change that is due.
    OUTDATED = "outdated"
    # Older than the bound, and nobody is known to have had an answer of the store since.
    UNCONFIRMED = "unconfirmed"
    # As unconfirmed, and the latest read of this process failed.
    UNCONFIRMABLE = "unconfirmable"


def evaluate_belief(
    age_s: float, bound_s: float, heard_age_s: float, is_store_lost: bool
) -> BeliefState:
    """Return the state of a copy that the store confirmed age_s before a request arrived.

    heard_age_s is how long before then the store is known to have answered this process or a peer.
    is_store_lost is whether the latest read of this process failed.
    """
    if age_s <= bound_s:
        return BeliefState.CURRENT
    if heard_age_s <= bound_s:
        return BeliefState.OUTDATED
    return BeliefState.UNCONFIRMABLE if is_store_lost else BeliefState.UNCONFIRMED
