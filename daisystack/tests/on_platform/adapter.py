"""Import the adapter's modules for tests and define samples of published values."""

from __future__ import annotations

import json
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent.parent
sys.path.insert(0, str(ROOT / "platform"))

import endpoints  # noqa: E402
from daisystack.core.mirror import Change  # noqa: E402
from documents import DocumentReader  # noqa: E402
from engine import Origin, Runner  # noqa: E402
from headers import HeaderDialect  # noqa: E402
from settings_file import parse_lines, read_agent, read_entry, read_identity  # noqa: E402
from store import KeyValueStore  # noqa: E402

__all__ = [
    "CONFIG",
    "SERVER",
    "ROOT",
    "SETTINGS",
    "DocumentReader",
    "HeaderDialect",
    "KeyValueStore",
    "Origin",
    "Runner",
    "endpoints",
    "read_agent",
    "read_entry",
    "parse_lines",
    "read_identity",
    "read_publication",
]

SETTINGS = """
node_name=front-1
ip=10.1.0.40
zone=mtl-a
region=mtl
listen.front=10.1.0.40:8005
listen.ready=10.1.0.40:8002
listen.control=10.1.0.40:8000
listen.directory=10.1.0.40:8009
port_range=7700,7715
seeds=10.1.0.40:8000,10.2.0.37:8000
limits.link_mbps=3.8
bounds.version_ms=8000
bounds.revoke_ms=5000
platform.address=10.200.1.7:8007
app=10.1.0.43:8001
service=pool
new.field=ignored
"""

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "A.example",
            "prefix": "/x/",
            "kind": "streaming",
            "timeout_ms": 6000,
            "target_latency_ms": 405,
            "priority": 1,
            "service": "pool",
            "max_attempts": 2,
            "public": False,
            "stream_resume": True,
            "gap_aim_ms": 300,
        },
        {
            "name": "r2",
            "host": "b.example",
            "prefix": "/",
            "kind": "unsafe",
            "timeout_ms": 800,
            "traffic_split": [{"service": "pool", "weight": 90}, {"service": "s2", "weight": 10}],
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": "pool",
            "max_connections": 364,
            "engine": {
                "stride": 6,
                "models": [{"name": "m", "warm_s": 0.3}],
                "step_ms": 6.73,
                "read_per_s": 30600.0,
                "chunk": 2048,
                "usual": {"prompt": 964, "answer": 119},
                "layers": 16,
                "chunks": 64,
                "chunk_bytes": 32768,
            },
        },
        {"name": "portal", "origin": "172.20.0.3:8006", "zone": "mtl-a"},
    ],
    "limits": {"max_header_bytes": 100, "idle_timeout_ms": 1500},
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
}

SERVER = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "mtl-a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "cold_left_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "layers": [{"from": 0, "to": 16, "version": 3}],
    "seq": 4,
    "born": 1700000000000,
}


def read_publication(key: str, value: object):
    """Parse a published value with a reader that has read the sample configuration."""
    reader = DocumentReader()
    reader.read(Change("op/config", 1, json.dumps(CONFIG).encode()))
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return reader.read(Change(key, 2, body))
