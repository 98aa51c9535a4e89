"""Show who was served, late or refused in each second, read from the logs of several processes."""

from __future__ import annotations

import json
from collections.abc import Iterable
from contextlib import ExitStack
from pathlib import Path

from attrs import asdict
from rich.console import Console
from rich.table import Table

from daisystack.core.load_table import LoadGroup, LoadRow, LoadTable
from daisystack.core.log_lines import read_log_lines
from daisystack.log_files import open_all

__all__ = ["show_load"]

COLUMNS = ("second", "group", "ended", "returned", "in_time", "late", "refused", "failed")
# Wide enough for a table in a file.
FILE_WIDTH = 160


def show_load(paths: Iterable[Path], group: LoadGroup, as_json: bool) -> bool:
    """Print the table and return whether there is any request; raise OSError for a file."""
    table = LoadTable()
    with ExitStack() as open_files:
        for lines in open_all(paths, open_files):
            table.add_lines(read_log_lines(lines))
    rows = table.build(group)
    if as_json:
        print(json.dumps({"lines_left_out": table.lines_left_out, "rows": list(map(_row, rows))}))
    elif rows:
        _print_table(rows, table.lines_left_out)
    return bool(rows)


def _row(row: LoadRow) -> dict[str, object]:
    return asdict(row) | {"reasons": dict(row.reasons)}


def _print_table(rows: list[LoadRow], lines_left_out: int) -> None:
    table = Table(*COLUMNS, "caller_gone", "main reason", box=None)
    for row in rows:
        counts = (str(getattr(row, column)) for column in (*COLUMNS, "caller_gone"))
        table.add_row(*counts, row.main_reason)
    console = Console()
    if not console.is_terminal:
        console = Console(width=FILE_WIDTH)
    console.print(table)
    if lines_left_out:
        console.print(f"{lines_left_out} lines are missing from these logs")
