"""Open the log files that a command reads."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from pathlib import Path

__all__ = ["open_all"]


def open_all(paths: Iterable[Path], open_files: ExitStack) -> Iterator[Iterable[str]]:
    """Yield the lines of each file, or standard input without files; raise OSError."""
    path_list = list(paths)
    if not path_list:
        yield sys.stdin
    for path in path_list:
        yield open_files.enter_context(path.open(encoding="utf-8", errors="replace"))
