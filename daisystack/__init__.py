"""Distribute model weights to a fleet and route requests to the instances that serve them."""

from daisystack.core.config_keeper import ConfigKeeper, PublishedDocument
from daisystack.core.register import Register, Rules, SiteDocument
from daisystack.core.validation import DocumentRefused, read_document
from daisystack.core.verdicts import AttemptEnd, Verdict

__all__ = [
    "AttemptEnd",
    "ConfigKeeper",
    "DocumentRefused",
    "PublishedDocument",
    "Register",
    "Rules",
    "SiteDocument",
    "Verdict",
    "read_document",
]
