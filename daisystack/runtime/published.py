"""Keep the decoded state that operators and upstreams have published."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from attrs import define, field

from daisystack.backends import InvalidPublication, PublicationReader
from daisystack.core.evacuations import ZoneEvacuation
from daisystack.core.mirror import Change, Mirror
from daisystack.core.placement import DirectUpstream, Placement
from daisystack.core.targets import LONG_AGO_S, Targets, WeightTarget
from daisystack.core.traffic import TrafficPolicy
from daisystack.core.urgency import find_ranked_services
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import (
    PolicyTaken,
    PublicationIgnored,
    TargetTaken,
    UpstreamChanged,
    UpstreamGone,
    ZoneEvacuated,
    ZoneReturned,
)
from daisystack.runtime.logs import log_event
from daisystack.runtime.tasks import run_logged

__all__ = ["PublishedState"]

_logger = logging.getLogger("daisystack.published")


@define(eq=False)
class PublishedState:
    """Keep the decoded policy, upstreams and targets, and notify listeners of changes."""

    reader: PublicationReader
    placement: Placement
    targets: Targets = field(factory=Targets)
    policy: TrafficPolicy | None = None
    on_policy: list[Callable[[TrafficPolicy], None]] = field(factory=list)
    on_target: list[Callable[[WeightTarget], None]] = field(factory=list)
    refused_count: int = 0
    _read_prefixes: set[str] = field(factory=set)
    _changed_after_s: float | None = None

    def apply_changes(self, mirror: Mirror, changes: Iterable[Change]) -> None:
        """Decode and apply changes of a mirror."""
        is_first_read = mirror.prefix not in self._read_prefixes
        self._read_prefixes.add(mirror.prefix)
        self._changed_after_s = mirror.changed_after_s
        for change in changes:
            # A mirror reports a change once, so one that fails must not keep the later ones away.
            age_s = mirror.age_s(now_s())
            if not run_logged(change.key, self._apply_change, change, is_first_read, age_s):
                self.refused_count += 1
                run_logged(change.key, self._remove_upstream, change)

    def _apply_change(self, change: Change, is_first_read: bool, age_s: float) -> None:
        if change.value is None:
            self._remove_upstream(change)
            self._end_evacuation(change)
            return
        try:
            publication = self.reader.read(change)
        except InvalidPublication as error:
            self.refused_count += 1
            log_event(_logger, PublicationIgnored(change.key, change.revision, str(error)))
            # A value that can't be decoded must not leave its previous upstream in use.
            self._remove_upstream(change)
            return
        if publication is not None:
            self._apply(publication, change, is_first_read, age_s)

    def _remove_upstream(self, change: Change) -> None:
        upstream_id = self.reader.upstream_id(change.key)
        if upstream_id is not None and self.placement.get(upstream_id) is not None:
            self.placement.remove_upstream(upstream_id)
            log_event(_logger, UpstreamGone(upstream_id, change.revision))

    def _end_evacuation(self, change: Change) -> None:
        zone = self.placement.places.evacuations.end(change.key)
        if zone is not None:
            self.placement.cold.record_return(zone, now_s())
            log_event(_logger, ZoneReturned(zone, change.revision))

    @singledispatchmethod
    def _apply(
        self, publication: object, change: Change, is_first_read: bool, age_s: float
    ) -> None:
        raise TypeError(f"can't apply a publication of type {type(publication).__name__}")

    @_apply.register
    def _(
        self, publication: TrafficPolicy, change: Change, is_first_read: bool, age_s: float
    ) -> None:
        before = self.policy.version if self.policy else 0
        self.policy = publication
        log_event(_logger, PolicyTaken(before, publication.version, change.revision, age_s))
        profiles = {s.name: s.engine for s in publication.services.values() if s.engine}
        self.placement.update_profiles(profiles)
        self.placement.cold.update_services(publication.services)
        self.placement.by_rank.update_services(find_ranked_services(publication))
        for service in publication.services.values():
            if service.engine is not None:
                first_target = WeightTarget(service.engine.model, service.engine.first_version)
                self._add_target(first_target, LONG_AGO_S, change.revision)
        for listener in self.on_policy:
            run_logged("policy listener", listener, publication)

    @_apply.register
    def _(
        self, publication: DirectUpstream, change: Change, is_first_read: bool, age_s: float
    ) -> None:
        previous = self.placement.get(publication.id)
        self.placement.update_upstream(publication, now_s())
        if previous != publication:
            event = UpstreamChanged(
                publication.id,
                publication.service,
                publication.address,
                publication.is_ready,
                publication.version,
                change.revision,
            )
            log_event(_logger, event)

    @_apply.register
    def _(
        self, publication: WeightTarget, change: Change, is_first_read: bool, age_s: float
    ) -> None:
        self._add_target(publication, self._learned_s(is_first_read), change.revision)

    @_apply.register
    def _(
        self, publication: ZoneEvacuation, change: Change, is_first_read: bool, age_s: float
    ) -> None:
        if self.placement.places.evacuations.begin(change.key, publication.zone):
            log_event(_logger, ZoneEvacuated(publication.zone, change.revision, age_s))

    def _learned_s(self, is_first_read: bool) -> float:
        """Return since when a target that is applied now counts as known.

        A poll may find it long after it was published, so it counts from the poll before.
        """
        if is_first_read:
            return LONG_AGO_S
        at_s = now_s()
        if self._changed_after_s is None:
            return at_s
        return max(self._changed_after_s, at_s - self.targets.max_learning_delay_s)

    def _add_target(self, target: WeightTarget, learned_s: float, revision: int) -> None:
        if not self.targets.learn(target, learned_s):
            return
        log_event(_logger, TargetTaken(target.model, target.version, revision))
        for listener in self.on_target:
            run_logged("target listener", listener, target)
