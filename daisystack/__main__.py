"""Start the command line with green threads in place."""

from __future__ import annotations

import os
import warnings

# Peers are named by IP numbers, so the green resolver would only cost memory.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from daisystack.cli import app  # noqa: E402


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
