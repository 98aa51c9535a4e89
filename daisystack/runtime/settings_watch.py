"""Reload settings that change while a process runs."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

import eventlet
from attrs import define

from daisystack.core.settings import SettingsRefused
from daisystack.runtime.events import SettingsKept, SettingsReloaded
from daisystack.runtime.logs import log_event
from daisystack.runtime.tasks import run_steps

__all__ = ["SettingsWatch"]

# A change that is not announced by a signal is detected within this time.
CHECK_INTERVAL_S = 1.0

_logger = logging.getLogger("daisystack.settings")


@define(eq=False)
class SettingsWatch:
    """Watch the settings file and call apply with its text when that has changed."""

    path: Path
    apply: Callable[[str], object]
    _text: str = ""

    def start(self) -> None:
        """Store the current text and start the periodic checks."""
        self._text = self.path.read_text()
        eventlet.spawn(run_steps, "settings", self._step)

    def check_for_changes(self) -> None:
        """Apply the file if it has changed; a faulty file leaves the settings unchanged."""
        try:
            text = self.path.read_text()
            if text == self._text:
                return
            self._text = text
            self.apply(text)
        except OSError as error:
            log_event(_logger, SettingsKept(str(error)))
        except SettingsRefused as refused:
            faults = "; ".join(str(fault) for fault in refused.exceptions)
            log_event(_logger, SettingsKept(faults))
        else:
            log_event(_logger, SettingsReloaded(str(self.path)))

    def _step(self) -> None:
        eventlet.sleep(CHECK_INTERVAL_S)
        self.check_for_changes()
