"""Run the command line with green threads."""

from __future__ import annotations

import os
import warnings

# Peers are addressed by IP address, so eventlet's DNS resolver would only use memory.
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
