"""Parse and validate a published document and report all its faults at once."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

import cattrs
from cattrs.preconf.json import make_converter
from cattrs.v import format_exception

from daisystack.core.addresses import parse_address
from daisystack.core.register import (
    Instance,
    InstanceRole,
    PoolKind,
    Register,
    Rules,
    SiteDocument,
)

__all__ = ["DocumentFault", "DocumentRefused", "read_document"]

FORMAT = 1
MAX_DOCUMENT_BYTES = 1_000_000
DIGEST_HEX_DIGITS = 64


class DocumentFault(ValueError):
    """Fault of a document, with the JSON path at which it occurs."""

    def __init__(self, path: str, message: str) -> None:
        super().__init__(f"{path}: {message}")
        self.path = path
        self.message = message


class DocumentRefused(ExceptionGroup):  # noqa: N818  (named after the outcome, not as an error)
    """All faults for which a document was refused."""

    def derive(self, excs):  # noqa: D102
        return DocumentRefused(self.message, excs)


def _strict_type_hook(*kinds: type) -> Callable[[object, type], object]:
    def structure(value: object, _: type) -> object:
        # The default converter turns null into "None" and "5" into 5, which hides the fault.
        if type(value) not in kinds:
            names = " or ".join(kind.__name__ for kind in kinds)
            raise ValueError(f"got {value!r}, allowed is {names}")
        return value

    return structure


def _make_converter(forbid_extra_keys: bool) -> cattrs.Converter:
    converter = make_converter(forbid_extra_keys=forbid_extra_keys)
    converter.register_structure_hook(str, _strict_type_hook(str))
    converter.register_structure_hook(int, _strict_type_hook(int))
    converter.register_structure_hook(float, _strict_type_hook(float, int))
    converter.register_structure_hook(bool, _strict_type_hook(bool))
    return converter


def _refuse_constant(name: str) -> float:
    raise ValueError(f"got {name}, allowed are finite numbers")


_strict = _make_converter(forbid_extra_keys=True)
_lenient = _make_converter(forbid_extra_keys=False)


def read_document(body: bytes) -> SiteDocument:
    """Parse and check a document; raise DocumentRefused with every fault."""
    faults: list[DocumentFault] = []
    document = _structure(body, faults)
    if document is not None:
        faults.extend(_check_document(document))
    if faults or document is None:
        raise DocumentRefused(f"{len(faults)} faults in the document", faults)
    return document


def _structure(body: bytes, faults: list[DocumentFault]) -> SiteDocument | None:
    if len(body) > MAX_DOCUMENT_BYTES:
        message = f"got {len(body)} bytes, allowed are {MAX_DOCUMENT_BYTES}"
        faults.append(DocumentFault("$", message))
        return None
    try:
        raw = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        faults.append(DocumentFault("$", f"not JSON: {error}"))
        return None
    if not isinstance(raw, dict):
        message = f"got {type(raw).__name__}, allowed is an object"
        faults.append(DocumentFault("$", message))
        return None
    try:
        return _strict.structure(raw, SiteDocument)
    except (cattrs.BaseValidationError, cattrs.StructureHandlerNotFoundError) as error:
        faults.extend(_structure_faults(error))
    # Parse again without the check for unknown fields, so that faults in known ones are found too.
    try:
        return _lenient.structure(raw, SiteDocument)
    except Exception:  # the strict pass has reported the reason
        return None


def _structure_faults(error: Exception) -> Iterator[DocumentFault]:
    for line in cattrs.transform_error(error, path="$", format_exception=_format_fault):
        message, _, path = line.rpartition(" @ ")
        yield DocumentFault(path or "$", message)


def _format_fault(error: BaseException, kind: type | None) -> str:
    text = str(error)
    return text if text.startswith("got ") else format_exception(error, kind)


def _check_document(document: SiteDocument) -> Iterator[DocumentFault]:
    if document.format != FORMAT:
        yield DocumentFault("$.format", f"got {document.format}, allowed is {FORMAT}")
    yield from _check_names(document)
    yield from _check_zones(document.register)
    yield from _check_models(document.register)
    for index, instance in enumerate(document.register.instances):
        yield from _check_instance(f"$.register.instances[{index}]", instance, document.register)
    yield from _check_rules(document.rules, document.register)


def _check_names(document: SiteDocument) -> Iterator[DocumentFault]:
    register, rules = document.register, document.rules
    yield from _check_unique("$.register.regions", register.regions)
    yield from _check_unique("$.register.zones", [z.name for z in register.zones])
    yield from _check_unique("$.register.pools", [p.name for p in register.pools])
    yield from _check_unique("$.register.models", [m.name for m in register.models])
    yield from _check_unique("$.register.instances", [i.id for i in register.instances])
    yield from _check_unique("$.rules.workspaces", [w.name for w in rules.workspaces])
    yield from _check_unique("$.rules.pools", [p.pool for p in rules.pools])
    yield from _check_unique("$.rules.model_zones", [m.model for m in rules.model_zones])
    for kind in ("http_address", "peer_address"):
        addresses = [getattr(instance, kind) for instance in register.instances]
        yield from _check_unique(f"$.register.instances.{kind}", addresses)


def _check_unique(path: str, names: Iterable[str]) -> Iterator[DocumentFault]:
    for name, count in Counter(names).items():
        if count > 1:
            yield DocumentFault(path, f"{name!r} stands {count} times, allowed is once")
        if not name:
            yield DocumentFault(path, "got an empty name")


def _check_known(path: str, kind: str, name: str | None, allowed: Iterable[str]) -> Iterator:
    names = sorted(allowed)
    if name not in names:
        yield DocumentFault(path, f"got {kind} {name!r}, allowed are {', '.join(names) or 'none'}")


def _check_not_negative(path: str, value: float) -> Iterator[DocumentFault]:
    if value < 0:
        yield DocumentFault(path, f"got {value}, allowed are numbers from 0")


def _check_zones(register: Register) -> Iterator[DocumentFault]:
    zones_in_use = {instance.zone for instance in register.instances}
    for index, zone in enumerate(register.zones):
        path = f"$.register.zones[{index}]"
        yield from _check_known(f"{path}.region", "region", zone.region, register.regions)
        if zone.name not in zones_in_use:
            yield DocumentFault(path, f"no instance stands in availability zone {zone.name!r}")


def _check_models(register: Register) -> Iterator[DocumentFault]:
    names = {model.name for model in register.models}
    for index, model in enumerate(register.models):
        path = f"$.register.models[{index}]"
        if model.base is not None:
            yield from _check_known(f"{path}.base", "model", model.base, names)
        yield from _check_unique(f"{path}.versions", [v.name for v in model.versions])
        for version_index, version in enumerate(model.versions):
            yield from _check_version(f"{path}.versions[{version_index}]", version)


def _check_version(path: str, version) -> Iterator[DocumentFault]:
    yield from _check_not_negative(f"{path}.size_bytes", version.size_bytes)
    digest = version.manifest_digest
    if len(digest) != DIGEST_HEX_DIGITS or set(digest) - set("0123456789abcdef"):
        message = f"got {digest!r}, allowed are {DIGEST_HEX_DIGITS} lower-case hex digits"
        yield DocumentFault(f"{path}.manifest_digest", message)


def _check_instance(path: str, instance: Instance, register: Register) -> Iterator[DocumentFault]:
    yield from _check_known(f"{path}.zone", "zone", instance.zone, [z.name for z in register.zones])
    for kind in ("http_address", "peer_address"):
        try:
            parse_address(getattr(instance, kind))
        except ValueError as error:
            yield DocumentFault(f"{path}.{kind}", str(error))
    if instance.role is InstanceRole.ENTRY:
        if instance.pool is not None or instance.serves:
            yield DocumentFault(path, "an entry instance has no pool and serves no model")
        return
    pools = {pool.name: pool for pool in register.pools}
    yield from _check_known(f"{path}.pool", "pool", instance.pool, pools)
    pool = pools.get(instance.pool)
    if pool is not None and pool.kind is PoolKind.SERVICE and instance.serves:
        yield DocumentFault(f"{path}.serves", f"pool {pool.name!r} holds plain services")
    yield from _check_unique(f"{path}.serves", [s.model for s in instance.serves])
    versions = {m.name: {v.name for v in m.versions} for m in register.models}
    for serving_index, serving in enumerate(instance.serves):
        item_path = f"{path}.serves[{serving_index}]"
        yield from _check_known(f"{item_path}.model", "model", serving.model, versions)
        if serving.model in versions:
            allowed = versions[serving.model]
            yield from _check_known(f"{item_path}.version", "version", serving.version, allowed)


def _check_rules(rules: Rules, register: Register) -> Iterator[DocumentFault]:
    zones = [zone.name for zone in register.zones]
    for index, workspace in enumerate(rules.workspaces):
        if not workspace.share > 0:
            message = f"got {workspace.share}, allowed are numbers above 0"
            yield DocumentFault(f"$.rules.workspaces[{index}].share", message)
    for index, limit in enumerate(rules.model_zones):
        path = f"$.rules.model_zones[{index}]"
        yield from _check_known(
            f"{path}.model", "model", limit.model, [m.name for m in register.models]
        )
        for zone in limit.zones:
            yield from _check_known(f"{path}.zones", "zone", zone, zones)
    for index, pool in enumerate(rules.pools):
        path = f"$.rules.pools[{index}]"
        yield from _check_known(f"{path}.pool", "pool", pool.pool, [p.name for p in register.pools])
        yield from _check_not_negative(f"{path}.min_serving", pool.min_serving)
        if pool.max_loading < 1:
            message = f"got {pool.max_loading}, allowed are numbers from 1"
            yield DocumentFault(f"{path}.max_loading", message)
    yield from _check_links(rules, register)


def _check_links(rules: Rules, register: Register) -> Iterator[DocumentFault]:
    path = "$.rules.links"
    yield from _check_not_negative(f"{path}.instance_bytes_per_s", rules.links.instance_bytes_per_s)
    for index, pair in enumerate(rules.links.region_pairs):
        item_path = f"{path}.region_pairs[{index}]"
        yield from _check_known(f"{item_path}.a", "region", pair.a, register.regions)
        yield from _check_known(f"{item_path}.b", "region", pair.b, register.regions)
        yield from _check_not_negative(f"{item_path}.bytes_per_s", pair.bytes_per_s)
    rollout = rules.rollout
    if rollout.origin_region is not None:
        item_path = "$.rules.rollout.origin_region"
        yield from _check_known(item_path, "region", rollout.origin_region, register.regions)
    yield from _check_not_negative("$.rules.rollout.takeover_s", rollout.takeover_s)
    if rollout.max_origin_copies < 1:
        message = f"got {rollout.max_origin_copies}, allowed are numbers from 1"
        yield DocumentFault("$.rules.rollout.max_origin_copies", message)
