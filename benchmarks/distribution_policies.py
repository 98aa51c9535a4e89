"""Compute the cost of distribution plans: bytes per link, hops and time at given rates."""

from __future__ import annotations

import math
from collections import Counter

from attrs import frozen

from daisystack.core.distribution import plan_distribution
from daisystack.core.register import SiteDocument
from daisystack.core.validation import read_document
from daisystack.standins.site import SiteLayout, build_site_document, dump_document
from daisystack.standins.weights import generate_version

CHUNKS = 512
REGIONS = ("r1", "r2", "r3")
FAN_OUT = 2


@frozen
class Rates:
    """Link rates in copies of the weights per second."""

    machine: float = 1.0
    region: float = 0.35
    origin: float = 2.0


@frozen
class PlanCost:
    """Cost of a plan: bytes in copies, time in units of one copy over an instance's link."""

    origin: float
    worst_region_link: float
    worst_machine_out: float
    hops: int
    time: float

    def format_row(self, size: int, policy: str, bound: float) -> str:
        """Return the table row of this plan; bound is the lower bound of its time."""
        return (
            f"| {size} | {policy} | {self.origin:.2f} | {self.worst_region_link:.2f} "
            f"| {self.worst_machine_out:.2f} | {self.hops} | {self.time:.2f} "
            f"| {self.time / bound:.2f} |"
        )


def evaluate_direct_pulls(size: int, rates: Rates) -> PlanCost:
    """Return the cost when each instance pulls its own copy from the origin."""
    remote_instances = size // 3
    time = max(size / rates.origin, remote_instances / rates.region, 1 / rates.machine)
    return PlanCost(float(size), float(remote_instances), 0.0, 1, time)


def evaluate_tree(size: int, rates: Rates) -> PlanCost:
    """Return the cost of one copy per remote region and a binary tree inside each region."""
    members = max(1, size // 3)
    depth = max(1, math.ceil(math.log2(members + 1)))
    # A parent with two children sends two copies over its link, which halves the rate.
    copies_out = float(FAN_OUT if members > 1 else 1)
    copy = max(1 / rates.origin, 1 / rates.region, copies_out / rates.machine)
    return PlanCost(
        1.0, 1.0, copies_out + 2.0, depth, copy + depth * copies_out / rates.machine / CHUNKS
    )


def evaluate_ring(document: SiteDocument, size: int, rates: Rates) -> PlanCost:
    """Return the cost of the agents' own plans, followed chunk by chunk."""
    ref = next(iter(document.intended_weights("m1")))
    plans = {f"m{i + 1}": plan_distribution(document, ref, f"m{i + 1}") for i in range(size)}
    links: Counter[tuple[str, str]] = Counter()
    sent: Counter[str] = Counter()
    origin = 0
    first_plan = plans["m1"]
    for chunk in range(CHUNKS):
        for region, members in first_plan.rings.items():
            fetcher = plans[first_plan.fetchers(chunk, region)[0]]
            source = fetcher.source_regions(chunk)[0]
            if source is None:
                origin += 1
            else:
                links[(source, region)] += 1
                sent[first_plan.fetchers(chunk, source)[0]] += 1
            for member in members:
                if member != fetcher.own_id:
                    plan = plans[member]
                    senders = (
                        plan.predecessors
                        if plan.arrives_from_predecessor(chunk)
                        else plan.successors
                    )
                    sent[senders[0]] += 1
    worst_link = max(links.values()) / CHUNKS
    worst_out = max(sent.values()) / CHUNKS
    hops = max(len(members) // 2 for members in first_plan.rings.values())
    copy = max(1 / rates.origin, worst_link / rates.region, worst_out / rates.machine)
    return PlanCost(
        origin / CHUNKS, worst_link, worst_out, hops, copy + hops / rates.machine / CHUNKS
    )


def main() -> None:
    """Print the table; the bound is one copy over the slowest needed link and a chunk per hop."""
    rates = Rates()
    print(
        "| N | policy | origin copies | worst region link | worst machine out | hops | time "
        "| time / bound |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for size in (6, 60, 620):
        layout = SiteLayout("10.0.0.1", 7000, REGIONS, 1, size, 0)
        version = generate_version("assistant", "a", 1000, 100, 1)
        raw = build_site_document(layout, [version], "a")
        for index, instance in enumerate(raw["register"]["instances"]):
            instance["http_address"] = f"10.{index >> 8}.{index & 255}.1:80"
            instance["peer_address"] = f"10.{index >> 8}.{index & 255}.1:81"
        document = read_document(dump_document(raw))
        # Each hop can at most double the number of instances that hold a chunk.
        hops = math.ceil(math.log2(size))
        copy = max(1 / rates.machine, 0.5 / rates.region)
        bound = copy + hops / rates.machine / CHUNKS
        print(evaluate_direct_pulls(size, rates).format_row(size, "all from the origin", bound))
        print(evaluate_tree(size, rates).format_row(size, "one tree", bound))
        print(
            evaluate_ring(document, size, rates).format_row(size, "ring and rotated trees", bound),
            flush=True,
        )


if __name__ == "__main__":
    main()
