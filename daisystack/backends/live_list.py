"""Read the platform's list of live and leaving instances over HTTP."""

from __future__ import annotations

from attrs import define

from daisystack.backends.base import BackendError, LiveInstance
from daisystack.backends.http import HttpEndpoint

__all__ = ["HttpLiveList"]


@define
class HttpLiveList:
    """Client of `GET /v1/instances`, which returns ids with the state live or leaving."""

    endpoint: HttpEndpoint

    def read(self) -> tuple[LiveInstance, ...]:
        """Return the list; raise BackendError."""
        value = self.endpoint.read_json(self.endpoint.call("GET", "/v1/instances"))
        try:
            return tuple(
                LiveInstance(str(line["id"]), line["state"] == "leaving")
                for line in value["instances"]
            )
        except (KeyError, TypeError) as error:
            raise BackendError(f"invalid live list: {error}") from error
