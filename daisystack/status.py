"""Show the state of all instances of a site as a table."""

from __future__ import annotations

import json

from rich.console import Console
from rich.table import Table

from daisystack.backends import BackendError, HttpEndpoint
from daisystack.core.register import Instance
from daisystack.core.validation import read_document

__all__ = ["show_status"]

TIMEOUT_S = 2.0


def show_status(entry_address: str) -> int:
    """Print one row per registered instance; return how many don't serve what they should.

    Instances that don't respond are counted too. Raise BackendError if the entry doesn't.
    """
    document = read_document(_fetch(entry_address, "/v1/document"))
    table = Table("instance", "zone", "intended", "serves", "gate", "chunks", "state", "revision")
    mismatched = 0
    for instance in document.register.instances:
        status = _fetch_status(instance)
        intended = ", ".join(f"{s.model}@{s.version}" for s in instance.serves) or "-"
        if status is None:
            mismatched += 1
            table.add_row(instance.id, instance.zone, intended, "?", "?", "?", "no answer", "?")
            continue
        serves = ", ".join(f"{r['model']}@{r['version']}" for r in status["serving"]) or "-"
        mismatched += serves != intended
        chunks = f"{status['chunks_held']}/{status['chunks_wanted']}"
        flags = [name for name in ("loading", "leaving") if status[name]]
        gate = status.get("gate", "-")
        row = (instance.id, instance.zone, intended, serves, gate, chunks, " ".join(flags) or "up")
        table.add_row(*row, str(status["revision"]))
    Console().print(table)
    return mismatched


def _fetch_status(instance: Instance) -> dict | None:
    try:
        return json.loads(_fetch(instance.http_address, "/v1/status"))
    except (BackendError, ValueError):
        return None


def _fetch(address: str, path: str) -> bytes:
    endpoint = HttpEndpoint(address)
    return endpoint.call("GET", path, read_timeout_s=TIMEOUT_S, call_timeout_s=TIMEOUT_S).body
