"""Data model of the register and rules that operators publish."""

from __future__ import annotations

import enum
from functools import cached_property

from attrs import field, frozen

__all__ = [
    "AvailabilityZone",
    "Instance",
    "InstanceRole",
    "LinkRules",
    "Model",
    "ModelRef",
    "ModelZones",
    "Pool",
    "PoolKind",
    "PoolRules",
    "Register",
    "RegionPair",
    "RolloutRules",
    "Rules",
    "Serving",
    "SiteDocument",
    "Version",
    "Workspace",
]


class InstanceRole(enum.Enum):
    """Daemon that runs on an instance."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class PoolKind(enum.Enum):
    """Kind of the upstreams in a pool."""

    MODEL = "model"
    SERVICE = "service"


@frozen
class AvailabilityZone:
    """Availability zone and its region."""

    name: str
    region: str


@frozen
class Pool:
    """Group of upstreams that are interchangeable except for the models they serve."""

    name: str
    kind: PoolKind
    checks_fencing: bool = False


@frozen
class Version:
    """Version of a model, identified by the digest of its manifest."""

    name: str
    manifest_digest: str
    size_bytes: int


@frozen
class Model:
    """Model and its versions; an adapter if it has a base model."""

    name: str
    versions: tuple[Version, ...]
    base: str | None = None


@frozen
class Serving:
    """Model version that an instance should serve."""

    model: str
    version: str


@frozen(order=True)
class ModelRef:
    """Identifier of the exact weights behind a model name."""

    model: str
    version: str
    manifest_digest: str


@frozen
class Instance:
    """Instance of the register and the addresses on which its daemon listens."""

    id: str
    role: InstanceRole
    zone: str
    http_address: str
    peer_address: str
    pool: str | None = None
    serves: tuple[Serving, ...] = ()


@frozen
class Workspace:
    """Workspace with its priority (higher goes first) and its share."""

    name: str
    priority: int = 0
    share: float = 1.0


@frozen
class ModelZones:
    """Availability zones to which a model is limited."""

    model: str
    zones: tuple[str, ...]


@frozen
class PoolRules:
    """Limits on how many upstreams of a pool load at once and how many must keep serving."""

    pool: str
    max_loading: int = 1
    min_serving: int = 0


@frozen
class RegionPair:
    """Rate of the link between two regions, in each direction."""

    a: str
    b: str
    bytes_per_s: float


@frozen
class LinkRules:
    """Rates that chunk transfers may use."""

    instance_bytes_per_s: float = 0.0
    region_pairs: tuple[RegionPair, ...] = ()


@frozen
class RolloutRules:
    """Limits on what a rollout pulls from the origin and on how long a fetcher may be late."""

    origin_region: str | None = None
    max_origin_copies: float = 4.0
    takeover_s: float = 2.0


@frozen
class Rules:
    """Rules that operators publish together with the register."""

    workspaces: tuple[Workspace, ...] = ()
    model_zones: tuple[ModelZones, ...] = ()
    pools: tuple[PoolRules, ...] = ()
    links: LinkRules = field(factory=LinkRules)
    rollout: RolloutRules = field(factory=RolloutRules)


@frozen
class Register:
    """Regions, zones, pools, models and instances, and what each instance should serve."""

    regions: tuple[str, ...]
    zones: tuple[AvailabilityZone, ...]
    pools: tuple[Pool, ...] = ()
    models: tuple[Model, ...] = ()
    instances: tuple[Instance, ...] = ()


@frozen(slots=False, eq=False)
class SiteDocument:
    """Published register with its rules, and lookup tables over them."""

    format: int
    register: Register
    rules: Rules = field(factory=Rules)

    @cached_property
    def instances(self) -> dict[str, Instance]:
        """Return the instances by id."""
        return {instance.id: instance for instance in self.register.instances}

    @cached_property
    def pools(self) -> dict[str, Pool]:
        """Return the pools by name."""
        return {pool.name: pool for pool in self.register.pools}

    @cached_property
    def models(self) -> dict[str, Model]:
        """Return the models by name."""
        return {model.name: model for model in self.register.models}

    @cached_property
    def workspaces(self) -> dict[str, Workspace]:
        """Return the workspaces by name."""
        return {workspace.name: workspace for workspace in self.rules.workspaces}

    @cached_property
    def regions_by_zone(self) -> dict[str, str]:
        """Return the region of each availability zone."""
        return {zone.name: zone.region for zone in self.register.zones}

    @cached_property
    def entries(self) -> tuple[Instance, ...]:
        """Return the entry instances."""
        return tuple(i for i in self.register.instances if i.role is InstanceRole.ENTRY)

    @cached_property
    def upstreams(self) -> tuple[Instance, ...]:
        """Return the upstream instances."""
        return tuple(i for i in self.register.instances if i.role is InstanceRole.UPSTREAM)

    @cached_property
    def zones_by_model(self) -> dict[str, frozenset[str]]:
        """Return the allowed availability zones of each model that is limited to some."""
        return {rule.model: frozenset(rule.zones) for rule in self.rules.model_zones}

    @cached_property
    def _versions(self) -> dict[tuple[str, str], Version]:
        return {
            (model.name, version.name): version
            for model in self.register.models
            for version in model.versions
        }

    def region_of(self, instance: Instance) -> str:
        """Return the region of an instance."""
        return self.regions_by_zone[instance.zone]

    def version_of(self, serving: Serving) -> Version:
        """Return the version to which a serving refers."""
        return self._versions[(serving.model, serving.version)]

    def intended_weights(self, instance_id: str) -> frozenset[ModelRef]:
        """Return the weights that an instance should serve; empty when it is not listed."""
        instance = self.instances.get(instance_id)
        if instance is None:
            return frozenset()
        return frozenset(
            ModelRef(s.model, s.version, self.version_of(s).manifest_digest)
            for s in instance.serves
        )

    def pool_rules(self, pool: str) -> PoolRules:
        """Return the rules of a pool, or the defaults."""
        for rules in self.rules.pools:
            if rules.pool == pool:
                return rules
        return PoolRules(pool)
