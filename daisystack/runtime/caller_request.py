"""Parse and validate a caller's request before it is processed."""

from __future__ import annotations

import math
import re
import secrets

from attrs import frozen

from daisystack.core.register import PoolKind, SiteDocument
from daisystack.core.routing import Target
from daisystack.core.settings import EntrySettings
from daisystack.core.tickets import Ticket, parse_ticket
from daisystack.runtime import headers
from daisystack.runtime.web import BadRequest, Request, read_body

__all__ = ["CallerRequest", "parse_request", "parse_target"]

MODELS = "models"
SERVICES = "services"
MAX_PATH_CHARS = 512

_PATH_PATTERN = re.compile(r"[A-Za-z0-9/._~-]*")
_PREFIX_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,128}")


@frozen
class CallerRequest:
    """Hold one validated request; the body is forwarded without being parsed."""

    request_id: str
    workspace: str
    target: Target
    path: str
    body: bytes
    content_type: str
    repeatable: bool
    ticket: Ticket | None
    prefix: str | None
    started_s: float
    deadline_s: float


def parse_request(
    request: Request,
    subpath: str,
    kind: str,
    document: SiteDocument,
    settings: EntrySettings,
    now_s: float,
) -> CallerRequest:
    """Return the validated request; raise BadRequest for an invalid header, path or body."""
    name, _, path = subpath.partition("/")
    target = parse_target(kind, name, document)
    if len(path) > MAX_PATH_CHARS or not _PATH_PATTERN.fullmatch(path):
        raise BadRequest(f"got path {path[:MAX_PATH_CHARS]!r}, allowed are A-Z a-z 0-9 / . _ ~ -")
    ticket = _parse_ticket_header(request)
    return CallerRequest(
        request_id=secrets.token_hex(8),
        workspace=_parse_workspace(request, document),
        target=target,
        path="/" + path,
        body=read_body(request, settings.max_body_bytes),
        content_type=request.header("content-type") or "application/octet-stream",
        # A caller that supplies a ticket expects the recorded answer, not a second run.
        repeatable=_parse_repeatable(request, kind) and ticket is None,
        ticket=ticket,
        prefix=_parse_prefix(request),
        started_s=now_s,
        deadline_s=now_s + _parse_timeout_s(request, settings),
    )


def parse_target(kind: str, name: str, document: SiteDocument) -> Target:
    """Return the model or service pool that a path names; raise BadRequest if it is unknown."""
    if kind == MODELS:
        if name not in document.models:
            raise BadRequest(f"got model {name[:64]!r}, allowed are {_join_names(document.models)}")
        return Target(model=name)
    services = [p.name for p in document.pools.values() if p.kind is PoolKind.SERVICE]
    if name not in services:
        raise BadRequest(f"got service {name[:64]!r}, allowed are {_join_names(services)}")
    return Target(pool=name)


def _parse_workspace(request: Request, document: SiteDocument) -> str:
    name = request.header(headers.WORKSPACE) or ""
    if name not in document.workspaces:
        known = _join_names(document.workspaces)
        raise BadRequest(f"{headers.WORKSPACE}: got {name[:64]!r}, allowed are {known}")
    return name


def _parse_repeatable(request: Request, kind: str) -> bool:
    text = request.header(headers.REPEATABLE)
    if text is None:
        return kind == MODELS
    if text not in ("yes", "no"):
        raise BadRequest(f"{headers.REPEATABLE}: got {text[:64]!r}, allowed are yes and no")
    return text == "yes"


def _parse_ticket_header(request: Request) -> Ticket | None:
    text = request.header(headers.TICKET)
    if text is None:
        return None
    try:
        return parse_ticket(text)
    except ValueError as error:
        raise BadRequest(f"{headers.TICKET}: {error}") from error


def _parse_prefix(request: Request) -> str | None:
    text = request.header(headers.PREFIX)
    if text is not None and not _PREFIX_PATTERN.fullmatch(text):
        raise BadRequest(f"{headers.PREFIX}: got {text[:64]!r}, allowed are A-Z a-z 0-9 . _ -")
    return text


def _parse_timeout_s(request: Request, settings: EntrySettings) -> float:
    text = request.header(headers.TIMEOUT)
    if text is None:
        return settings.default_timeout_s
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = math.nan
    if not 0 < timeout_s <= settings.max_timeout_s:
        limit = f"numbers above 0 and up to {settings.max_timeout_s}"
        raise BadRequest(f"{headers.TIMEOUT}: got {text[:64]!r}, allowed are {limit}")
    return timeout_s


def _join_names(names) -> str:
    return ", ".join(sorted(names)[:20]) or "none"
