"""Parse the settings of the daemons and report all faults at once."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import TypeVar

import attrs
from attrs import field, frozen

from daisystack.core.addresses import parse_address

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "SettingsRefused",
    "env_name",
    "flag_name",
    "read_settings",
]

_T = TypeVar("_T")
_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


class SettingsRefused(ExceptionGroup):  # noqa: N818  (named after the outcome, not as an error)
    """All faults for which settings were refused."""

    def derive(self, excs):  # noqa: D102
        return SettingsRefused(self.message, excs)


def _setting(text: str, default=attrs.NOTHING):
    return field(default=default, metadata={"help": text})


@frozen
class EntrySettings:
    """Settings of an entry."""

    id: str = _setting("Instance id in the register")
    zone: str = _setting("Availability zone of this instance")
    http_address: str = _setting("ip:port for callers and operators")
    peer_address: str = _setting("ip:port for peer processes")
    config_address: str = _setting("ip:port of the config service")
    live_list_address: str = _setting("ip:port of the live list")
    peers: tuple[str, ...] = _setting("Peer addresses to query at startup, comma separated", ())
    address_lifetime_s: float = _setting("How long callers may cache an address response", 10.0)
    max_body_bytes: int = _setting("Largest request body", 1_000_000)
    default_timeout_s: float = _setting("Timeout of a request that sets none", 30.0)
    max_timeout_s: float = _setting("Largest timeout that a request may set", 300.0)
    progress_timeout_s: float = _setting("Longest time without progress within a response", 5.0)
    max_queue: int = _setting("Requests that may wait for an upstream", 256)
    max_queue_wait_s: float = _setting("Longest time a request waits for an upstream", 0.3)
    retry_ratio: float = _setting("Retries that each request adds to the retry budget", 0.1)
    max_held_bytes: int = _setting("Bytes of answers held in memory", 256_000_000)


@frozen
class AgentSettings:
    """Settings of an agent."""

    id: str = _setting("Instance id in the register")
    zone: str = _setting("Availability zone of this instance")
    http_address: str = _setting("ip:port for entries and operators")
    peer_address: str = _setting("ip:port for peer processes")
    config_address: str = _setting("ip:port of the config service")
    store_address: str = _setting("ip:port of the weight store")
    origin_address: str = _setting("ip:port of the origin of weights")
    upstream_address: str = _setting("ip:port of this instance's engine or service")
    peers: tuple[str, ...] = _setting("Peer addresses to query at startup, comma separated", ())
    max_chunk_bytes_held: int = _setting("Bytes of chunks held in memory", 512_000_000)
    capacity: int = _setting("Requests that the upstream runs concurrently", 8)
    max_body_bytes: int = _setting("Largest request body", 1_000_000)
    max_answer_bytes: int = _setting("Largest response body that is not streamed", 8_000_000)
    drain_s: float = _setting("Longest wait for running requests before a load", 30.0)
    progress_timeout_s: float = _setting("Longest time without progress within a response", 5.0)
    max_tickets: int = _setting("Tickets kept in memory", 20_000)
    max_held_bytes: int = _setting("Bytes of answers held in memory", 256_000_000)


def flag_name(name: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def env_name(name: str) -> str:
    """Return the environment variable of a setting."""
    return "DAISYSTACK_" + name.upper()


def read_settings(kind: type[_T], given: Mapping[str, str | None]) -> _T:
    """Convert and check all settings; raise SettingsRefused with every fault."""
    values = {}
    faults: list[Exception] = []
    for setting in attrs.fields(kind):
        text = given.get(setting.name)
        if text is None:
            if setting.default is attrs.NOTHING:
                names = f"{flag_name(setting.name)} or {env_name(setting.name)}"
                faults.append(ValueError(f"{names}: got no value, one is required"))
            continue
        try:
            values[setting.name] = _convert(setting, text)
        except ValueError as error:
            faults.append(ValueError(f"{flag_name(setting.name)}: {error}"))
    if faults:
        raise SettingsRefused(f"{len(faults)} settings refused", faults)
    return kind(**values)


def _convert(setting: attrs.Attribute, text: str) -> object:
    if setting.name in ("id", "zone"):
        if not _ID.fullmatch(text):
            raise ValueError(f"got {text!r}, allowed are 1 to 64 of A-Z a-z 0-9 _ -")
        return text
    if setting.name.endswith("_address"):
        return str(parse_address(text))
    if setting.name == "peers":
        return tuple(str(parse_address(peer.strip())) for peer in text.split(",") if peer.strip())
    return _parse_positive_number(text, int if setting.type == "int" else float)


def _parse_positive_number(text: str, kind: type) -> float:
    try:
        value = kind(text)
    except ValueError:
        value = 0
    if not 0 < value < float("inf"):
        whole = "whole numbers" if kind is int else "numbers"
        raise ValueError(f"got {text!r}, allowed are {whole} above 0")
    return value
