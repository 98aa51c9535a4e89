"""Read the published document from the config service over HTTP."""

from __future__ import annotations

from attrs import define

from daisystack.backends.base import BackendError
from daisystack.backends.http import HttpEndpoint
from daisystack.core.config_keeper import PublishedDocument

__all__ = ["HttpConfigService"]

WATCH_MARGIN_S = 2.0
# Above the validator's limit, so that the validator can report the size of a larger document.
MAX_DOCUMENT_READ_BYTES = 4_000_000


@define
class HttpConfigService:
    """Client of `GET /v1/document?after=REVISION&wait_s=N`, which returns status 200 or 304."""

    endpoint: HttpEndpoint

    def watch(self, after_revision: int, wait_s: float) -> PublishedDocument | None:
        """Wait for a newer document; return None if there is none; raise BackendError."""
        path = f"/v1/document?after={after_revision}&wait_s={wait_s}"
        response = self.endpoint.call(
            "GET", path, None, wait_s + WATCH_MARGIN_S, MAX_DOCUMENT_READ_BYTES
        )
        if response.status == 304:
            return None
        revision = response.headers.get("Revision", "")
        if response.status != 200 or not revision.isdigit():
            raise BackendError(
                f"config service: got status {response.status}, revision {revision!r}"
            )
        return PublishedDocument(int(revision), response.body)
