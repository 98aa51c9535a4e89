"""Show the state of all instances of a site as a table."""

from __future__ import annotations

import json

import urllib3
from rich.console import Console
from rich.table import Table

from daisystack.core.register import Instance
from daisystack.core.validation import read_document

__all__ = ["show_status"]

TIMEOUT_S = 2.0


def show_status(entry_address: str) -> int:
    """Print one row per registered instance; return how many don't serve what they should.

    Instances that don't respond are counted too.
    """
    http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    body = http.request("GET", f"http://{entry_address}/v1/document").data
    document = read_document(body)
    table = Table("instance", "zone", "intended", "serves", "gate", "chunks", "state", "revision")
    mismatched = 0
    for instance in document.register.instances:
        status = _fetch_status(http, instance)
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


def _fetch_status(http: urllib3.PoolManager, instance: Instance) -> dict | None:
    try:
        response = http.request("GET", f"http://{instance.http_address}/v1/status")
        return json.loads(response.data)
    except (urllib3.exceptions.HTTPError, ValueError):
        return None
