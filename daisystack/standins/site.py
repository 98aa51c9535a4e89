"""Layout of a small site and the published document with its zones, pools and instances."""

from __future__ import annotations

import json

from attrs import field, frozen

from daisystack.standins.weights import SyntheticVersion, generate_version

__all__ = ["SiteLayout", "dump_document", "generate_versions", "build_site_document"]

MODEL = "assistant"
VERSIONS = ("a", "b", "c")
# Port offsets of the platform's services from the base port.
CONFIG, LIVE_LIST, STORE, ORIGIN = range(4)


@frozen
class SiteLayout:
    """Parameters of the register of a small site, whose instances all have one IP address."""

    host: str
    base_port: int
    regions: tuple[str, ...] = ("mtl", "qc", "sag")
    entries: int = 2
    agents: int = 6
    ledgers: int = 3
    instance_bytes_per_s: float = 4_000_000.0
    region_pair_bytes_per_s: float = 1_375_000.0
    max_loading: int = 2
    checks_fencing: bool = True
    takeover_s: float = 2.0
    # Indexes of the agents that entries reach only through a relay.
    relayed: tuple[int, ...] = ()
    workspaces: tuple[str, ...] = field(default=("underwriting", "servicing", "dealers"))

    def address(self, offset: int) -> str:
        """Return the address at an offset from the base port."""
        return f"{self.host}:{self.base_port + offset}"

    def entry_addresses(self, index: int) -> tuple[str, str]:
        """Return an entry's HTTP and peer addresses."""
        return self.address(100 + index), self.address(150 + index)

    def agent_addresses(self, index: int) -> tuple[str, str, str]:
        """Return the HTTP and peer addresses of an agent and the address of its engine."""
        return self.address(200 + index), self.address(400 + index), self.address(600 + index)

    def relay_address(self, index: int) -> str:
        """Return the address of the relay in front of an agent's HTTP address, if it has one."""
        return self.address(800 + index)

    def zone_of(self, index: int) -> str:
        """Return the zone of the n-th instance of a kind; the regions take turns."""
        return self.regions[index % len(self.regions)] + "-1"


def build_site_document(
    layout: SiteLayout, versions: list[SyntheticVersion], served_version: str
) -> dict:
    """Return the document of a site whose model pool is to serve one version."""
    model = versions[0].model
    register = {
        "regions": list(layout.regions),
        "zones": [{"name": f"{region}-1", "region": region} for region in layout.regions],
        "pools": [
            {"name": "model", "kind": "model", "checks_fencing": layout.checks_fencing},
            {"name": "ledger", "kind": "service"},
        ],
        "models": [{"name": model, "versions": [_build_version(v) for v in versions]}],
        "instances": _build_instances(layout, model, served_version),
    }
    pairs = [
        {"a": a, "b": b, "bytes_per_s": layout.region_pair_bytes_per_s}
        for index, a in enumerate(layout.regions)
        for b in layout.regions[index + 1 :]
    ]
    rules = {
        "workspaces": [
            {"name": name, "priority": priority} for priority, name in enumerate(layout.workspaces)
        ],
        "pools": [{"pool": "model", "max_loading": layout.max_loading}],
        "links": {"instance_bytes_per_s": layout.instance_bytes_per_s, "region_pairs": pairs},
        "rollout": {"origin_region": layout.regions[0], "takeover_s": layout.takeover_s},
    }
    return {"format": 1, "register": register, "rules": rules}


def dump_document(document: dict) -> bytes:
    """Serialize a document to JSON for publishing."""
    return json.dumps(document).encode()


def generate_versions(
    size_bytes: int, chunk_bytes: int, seed: int, shared_part: float
) -> list[SyntheticVersion]:
    """Generate the versions that the stand-ins hold; later ones share chunks with the first."""
    first = generate_version(MODEL, VERSIONS[0], size_bytes, chunk_bytes, seed)
    later = [
        generate_version(MODEL, name, size_bytes, chunk_bytes, seed, first, shared_part)
        for name in VERSIONS[1:]
    ]
    return [first, *later]


def _build_version(version: SyntheticVersion) -> dict:
    return {
        "name": version.version,
        "manifest_digest": version.manifest_digest,
        "size_bytes": version.size_bytes,
    }


def _build_instances(layout: SiteLayout, model: str, served_version: str) -> list[dict]:
    instances = []
    for index in range(layout.entries):
        http, peer = layout.entry_addresses(index)
        instances.append(
            _build_instance(f"e{index + 1}", "entry", layout.zone_of(index), http, peer)
        )
    for index in range(layout.agents + layout.ledgers):
        http, peer, _ = layout.agent_addresses(index)
        if index in layout.relayed:
            http = layout.relay_address(index)
        if index < layout.agents:
            instance = _build_instance(
                f"m{index + 1}", "upstream", layout.zone_of(index), http, peer
            )
            instance |= {"pool": "model", "serves": [{"model": model, "version": served_version}]}
        else:
            ledger_index = index - layout.agents
            instance = _build_instance(
                f"s{ledger_index + 1}", "upstream", layout.zone_of(ledger_index), http, peer
            )
            instance |= {"pool": "ledger"}
        instances.append(instance)
    return instances


def _build_instance(id: str, role: str, zone: str, http: str, peer: str) -> dict:
    return {"id": id, "role": role, "zone": zone, "http_address": http, "peer_address": peer}
