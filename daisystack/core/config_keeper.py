"""Accept published documents in revision order; the configuration never reverts."""

from __future__ import annotations

import hashlib

from attrs import define, field, frozen

from daisystack.core.register import SiteDocument
from daisystack.core.validation import DocumentRefused, read_document

__all__ = [
    "AcceptedConfig",
    "ConfigAccepted",
    "ConfigIgnored",
    "ConfigKeeper",
    "ConfigOutcome",
    "ConfigRefused",
    "PublishedDocument",
]


@frozen
class PublishedDocument:
    """Raw bytes of a document and the revision under which it was published."""

    revision: int
    body: bytes

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the body as hex."""
        return hashlib.sha256(self.body).hexdigest()


@frozen
class AcceptedConfig:
    """Configuration in force, with the local time at which it was accepted."""

    revision: int
    digest: str
    body: bytes
    document: SiteDocument
    accepted_s: float


@frozen
class ConfigAccepted:
    """Outcome: the offered document is now the configuration in force."""

    config: AcceptedConfig
    previous_revision: int
    source: str


@frozen
class ConfigIgnored:
    """Outcome: the offered document is not newer than what is known."""

    revision: int
    reason: str


@frozen
class ConfigRefused:
    """Outcome: the offered document is invalid and the configuration in force stays."""

    revision: int
    faults: tuple[str, ...]
    source: str


ConfigOutcome = ConfigAccepted | ConfigIgnored | ConfigRefused

NO_REVISION = 0


@define
class ConfigKeeper:
    """Keep the newest valid configuration offered by any source."""

    current: AcceptedConfig | None = None
    highest_refused_revision: int = field(default=NO_REVISION)
    _refused_digest: str = ""

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 if no configuration has been accepted."""
        return self.current.revision if self.current else NO_REVISION

    def offer(self, published: PublishedDocument, source: str, now_s: float) -> ConfigOutcome:
        """Accept, ignore or refuse a document offered by a source, and return the outcome."""
        if published.revision < self.revision:
            return ConfigIgnored(published.revision, "older than the revision in force")
        if self.current and published.revision == self.revision:
            return self._compare_same_revision(published, source)
        if (
            published.revision == self.highest_refused_revision
            and published.digest == self._refused_digest
        ):
            return ConfigIgnored(published.revision, "refused before")
        try:
            document = read_document(published.body)
        except DocumentRefused as refused:
            return self._refuse(published, source, tuple(str(e) for e in refused.exceptions))
        previous = self.revision
        self.current = AcceptedConfig(
            published.revision, published.digest, published.body, document, now_s
        )
        return ConfigAccepted(self.current, previous, source)

    def _compare_same_revision(self, published: PublishedDocument, source: str) -> ConfigOutcome:
        if published.digest == self.current.digest:
            return ConfigIgnored(published.revision, "in force already")
        fault = "$: another document was accepted under this revision"
        return ConfigRefused(published.revision, (fault,), source)

    def _refuse(
        self, published: PublishedDocument, source: str, faults: tuple[str, ...]
    ) -> ConfigRefused:
        if published.revision >= self.highest_refused_revision:
            self.highest_refused_revision = published.revision
            self._refused_digest = published.digest
        return ConfigRefused(published.revision, faults, source)
