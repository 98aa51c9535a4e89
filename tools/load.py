"""Send bounded load to the entries of a site as callers would, and check every answer."""

from __future__ import annotations

import json
import random
import secrets
import threading
import time

import urllib3
from attrs import define, field, frozen

__all__ = ["Answer", "Callers", "Tally", "classify_stream", "post_once"]

WORKSPACE = "dealers"
MAX_RESENDS = 20


@frozen
class Answer:
    """What a caller received for one request."""

    kind: str
    verdict: str
    is_complete: bool
    is_mixed: bool
    is_foreign: bool
    status: int
    first_token_s: float
    weights: str = ""


@define
class Tally:
    """Counts of answers by outcome, and times to the first token of complete ones."""

    sent: int = 0
    complete: int = 0
    not_run: int = 0
    may_have_run: int = 0
    mixed: int = 0
    foreign: int = 0
    first_token_s: list[float] = field(factory=list)

    def add(self, answer: Answer) -> None:
        """Add one answer to the counts."""
        self.sent += 1
        self.complete += answer.is_complete
        self.mixed += answer.is_mixed
        self.foreign += answer.is_foreign
        self.not_run += not answer.is_complete and answer.verdict == "not_run"
        self.may_have_run += not answer.is_complete and answer.verdict != "not_run"
        if answer.is_complete:
            self.first_token_s.append(answer.first_token_s)


def classify_stream(body: bytes, request_id: str) -> tuple[bool, bool, bool, str]:
    """Return whether a stream is complete, mixed, another request's, and its weights."""
    tokens = []
    for line in body.decode(errors="replace").splitlines():
        if line.startswith("data: {"):
            tokens.append(json.loads(line[6:]))
    tokens = [token for token in tokens if "i" in token]
    weights = {token["weights"] for token in tokens}
    in_order = [token["i"] for token in tokens] == list(range(len(tokens)))
    foreign = any(token["id"] != request_id for token in tokens)
    complete = body.endswith(b"data: [DONE]\n\n") and bool(tokens) and in_order
    return complete, len(weights) > 1 or "none" in weights, foreign, ",".join(sorted(weights))


def send_stream(http: urllib3.PoolManager, address: str, tokens: int, **fields: object) -> Answer:
    """Send one streaming request, with fields added to its body, and read the whole answer."""
    request_id = secrets.token_hex(6)
    body = json.dumps({"id": request_id, "tokens": tokens, **fields}).encode()
    started_s = time.monotonic()
    first_token_s = 0.0
    received = bytearray()
    verdict, status, has_ended = "may_have_run", 0, False
    try:
        response = http.request(
            "POST",
            f"http://{address}/v1/models/assistant/generate",
            body=body,
            headers={"Daisystack-Workspace": WORKSPACE},
            preload_content=False,
        )
        status = response.status
        verdict = response.headers.get("Daisystack-Verdict", "may_have_run")
        for piece in response.stream():
            first_token_s = first_token_s or time.monotonic() - started_s
            received += piece
        has_ended = True
        response.release_conn()
    except urllib3.exceptions.HTTPError as error:
        if isinstance(error, urllib3.exceptions.NewConnectionError):
            verdict = "not_run"
    complete, mixed, foreign, weights = classify_stream(bytes(received), request_id)
    complete = complete and has_ended and status == 200
    # An incomplete answer is an explicit error to the caller and doesn't count as mixed.
    return Answer(
        "stream", verdict, complete, complete and mixed, foreign, status, first_token_s, weights
    )


def post_once(http: urllib3.PoolManager, addresses: list[str], action: str, seed: int) -> str:
    """Post a non-repeatable action under one ticket through any entry; return its verdict."""
    rng = random.Random(seed)
    ticket = _request_ticket(http, addresses, rng)
    if ticket is None:
        return "not_run"
    for _ in range(MAX_RESENDS):
        try:
            response = http.request(
                "POST",
                f"http://{rng.choice(addresses)}/v1/services/ledger/post",
                body=json.dumps({"id": action}).encode(),
                headers={
                    "Daisystack-Workspace": WORKSPACE,
                    "Daisystack-Ticket": ticket,
                    "Daisystack-Timeout-S": "5",
                },
            )
        except urllib3.exceptions.HTTPError:
            time.sleep(0.1)
            continue
        verdict = response.headers.get("Daisystack-Verdict", "may_have_run")
        if verdict != "may_have_run" or "Retry-After" not in response.headers:
            return verdict
        time.sleep(0.2)
    return "may_have_run"


def _request_ticket(
    http: urllib3.PoolManager, addresses: list[str], rng: random.Random
) -> str | None:
    for _ in range(MAX_RESENDS):
        try:
            url = f"http://{rng.choice(addresses)}/v1/tickets/services/ledger"
            response = http.request("POST", url)
        except urllib3.exceptions.HTTPError:
            time.sleep(0.1)
            continue
        if response.status == 201:
            return json.loads(response.data)["ticket"]
        time.sleep(0.2)
    return None


@define(eq=False)
class Callers:
    """Threads that send streams and post actions until they are stopped."""

    addresses: list[str]
    streams: int = 6
    posters: int = 2
    tokens: int = 20
    pause_s: float = 0.02
    seed: int = 1
    tally: Tally = field(factory=Tally)
    post_verdicts: dict[str, str] = field(factory=dict)
    _stop: threading.Event = field(factory=threading.Event)
    _lock: threading.Lock = field(factory=threading.Lock)
    _threads: list[threading.Thread] = field(factory=list)

    def start(self) -> None:
        """Start the threads of all callers."""
        for index in range(self.streams):
            self._spawn(self._send_streams, index)
        for index in range(self.posters):
            self._spawn(self._post_actions, index)

    def stop(self) -> None:
        """Stop the callers after the request that each has in progress, and wait for them."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _spawn(self, target, index: int) -> None:
        thread = threading.Thread(target=target, args=(index,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _create_pool(self) -> urllib3.PoolManager:
        return urllib3.PoolManager(retries=False, maxsize=8, timeout=15.0)

    def _send_streams(self, index: int) -> None:
        http, rng = self._create_pool(), random.Random(f"{self.seed}/stream/{index}")
        while not self._stop.is_set():
            answer = send_stream(http, rng.choice(self.addresses), self.tokens)
            with self._lock:
                self.tally.add(answer)
            time.sleep(self.pause_s if answer.is_complete else 0.2)

    def _post_actions(self, index: int) -> None:
        http, count = self._create_pool(), 0
        while not self._stop.is_set():
            action = f"p{index}-{count}"
            verdict = post_once(http, self.addresses, action, self.seed * 1000 + count)
            with self._lock:
                self.post_verdicts[action] = verdict
            count += 1
            time.sleep(self.pause_s)
