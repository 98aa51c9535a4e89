"""Load the modules of a package's re-exports when a name is first used."""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from importlib import import_module

__all__ = ["lazy_exports"]


def lazy_exports(package: str, names: Mapping[str, str]) -> Callable[[str], object]:
    """Return a package's __getattr__ that imports each name from its module below the package."""

    def load(name: str) -> object:
        if name not in names:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(f"{package}.{names[name]}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return load
