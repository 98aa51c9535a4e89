"""Interfaces of the platform's services, and their implementations over HTTP."""

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
