"""Distribute model weights to a fleet and route requests to the instances that serve them."""

from typing import TYPE_CHECKING

from daisystack.lazy_exports import lazy_exports

if TYPE_CHECKING:
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

# A process of one interface starts without the classes of the other.
__getattr__ = lazy_exports(
    __name__,
    {
        "AttemptEnd": "core.verdicts",
        "ConfigKeeper": "core.config_keeper",
        "DocumentRefused": "core.validation",
        "PublishedDocument": "core.config_keeper",
        "Register": "core.register",
        "Rules": "core.register",
        "SiteDocument": "core.register",
        "Verdict": "core.verdicts",
        "read_document": "core.validation",
    },
)
