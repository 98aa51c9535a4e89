"""Runner stand-in: `runner.py NAME IP:PORT [key=value ...]`; runs a request for work_ms.

It answers 421 to a request for another instance, has slots, and refuses what is beyond its queue.
With unframed_ms it writes answers without a length over that time.
Each run is a line on standard output.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

name, address = sys.argv[1:3]
options = dict(word.split("=", 1) for word in sys.argv[3:])
UNFRAMED_PARTS = 10
# A request whose path contains this ends the process that runs it: crash_ms after it began, or in the
# middle of an answer without a length.
CRASH_PATH = "/crash"
work_s = float(options.get("work_ms", "20")) / 1000
slots = int(options.get("slots", "8"))
queue = int(options.get("queue", "16"))
places = threading.Semaphore(slots)
waiting = threading.Semaphore(slots + queue)


class Handler(BaseHTTPRequestHandler):
    """Run requests; one at a time on a connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args) -> None:
        """Write no access log."""

    def answer(self, status: int, body: bytes, *headers: tuple[str, str]) -> None:
        """Send one answer."""
        self.send_response(status)
        self.send_header("X-Attempt-Id", self.headers.get("X-Attempt-Id", ""))
        for key, value in headers:
            self.send_header(key, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def answer_unframed(self, attempt: str) -> None:
        """Send an answer that ends with its connection, in parts over unframed_ms."""
        self.send_response(200)
        self.send_header("X-Attempt-Id", attempt)
        self.send_header("X-Response-Stamp", f"{name}.{attempt}")
        self.send_header("Connection", "close")
        self.end_headers()
        for number in range(UNFRAMED_PARTS):
            if CRASH_PATH in self.path and number == UNFRAMED_PARTS // 2:
                print(f"{time.monotonic():.3f} crashes", flush=True)
                os._exit(1)
            self.wfile.write(f"part {number} of {UNFRAMED_PARTS}\n".encode())
            self.wfile.flush()
            time.sleep(float(options["unframed_ms"]) / 1000 / UNFRAMED_PARTS)
        self.close_connection = True

    def run_one(self) -> None:
        """Run a request or refuse it."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.headers.get("X-Expect-Instance") not in (None, name):
            self.answer(421, b"", ("X-Instance-Id", name))
            return
        if not waiting.acquire(blocking=False):
            self.answer(503, b"", ("X-Not-Executed", "1"))
            return
        try:
            with places:
                attempt = self.headers.get("X-Attempt-Id", "")
                print(f"{time.monotonic():.3f} runs {attempt} {self.path}", flush=True)
                if CRASH_PATH in self.path and "crash_ms" in options:
                    time.sleep(float(options["crash_ms"]) / 1000)
                    os._exit(1)
                time.sleep(work_s)
        finally:
            waiting.release()
        text = {"by": name, "id": attempt, "path": self.path, "body_bytes": len(body)}
        if "unframed_ms" in options:
            self.answer_unframed(attempt)
            return
        self.answer(200, json.dumps(text).encode(), ("X-Response-Stamp", f"{name}.{attempt}"))

    do_GET = do_POST = run_one


class Server(ThreadingHTTPServer):
    """Server whose threads end with the process."""

    daemon_threads = True
    request_queue_size = 256


ip, port = address.rsplit(":", 1)
Server((ip, int(port)), Handler).serve_forever()
