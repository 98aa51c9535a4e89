"""Interfaces of the platform's services, and their implementations over HTTP."""

from typing import TYPE_CHECKING

from daisystack.backends.base import (
    BackendError,
    ConfigService,
    InvalidPublication,
    LiveInstance,
    LiveList,
    LoadOrder,
    LocalEngine,
    ModelEngine,
    OrderAnswer,
    Publication,
    PublicationReader,
    PublishedStore,
    RateLimited,
    RequestDialect,
    VersionWithdrawn,
    WeightOrigin,
    WeightSource,
)
from daisystack.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from daisystack.backends.config_service import HttpConfigService
    from daisystack.backends.engine import HttpModelEngine, HttpPlainService
    from daisystack.backends.http import HttpEndpoint, HttpResponse
    from daisystack.backends.live_list import HttpLiveList
    from daisystack.backends.weight_source import HttpWeightSource

__all__ = [
    "BackendError",
    "ConfigService",
    "HttpConfigService",
    "HttpEndpoint",
    "HttpLiveList",
    "HttpModelEngine",
    "HttpPlainService",
    "HttpResponse",
    "HttpWeightSource",
    "LiveInstance",
    "LiveList",
    "LoadOrder",
    "LocalEngine",
    "ModelEngine",
    "OrderAnswer",
    "Publication",
    "PublicationReader",
    "InvalidPublication",
    "PublishedStore",
    "RateLimited",
    "RequestDialect",
    "VersionWithdrawn",
    "WeightOrigin",
    "WeightSource",
]

# The HTTP client and the adapters load in processes that use them.
__getattr__ = lazy_exports(
    __name__,
    {
        "HttpConfigService": "config_service",
        "HttpEndpoint": "http",
        "HttpLiveList": "live_list",
        "HttpModelEngine": "engine",
        "HttpPlainService": "engine",
        "HttpResponse": "http",
        "HttpWeightSource": "weight_source",
    },
)
