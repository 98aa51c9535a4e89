"""Small stand-ins of the platform for the cases: a store, runners and an origin, standard library only.

Run as a script: `standins.py store HOST PORT`, or with runner, engine or origin and their options
as a JSON object. They speak what PROTOCOL.md says; what the operator and the scripts do to them
goes by paths of their own (`/write/`, `/spoil/`).
"""

import base64
import hashlib
import json
import socket
import struct
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def read_body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return self.rfile.read(length) if length else b""

    def answer(self, status, body, headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def answer_json(self, status, value, headers=()):
        body = json.dumps(value).encode()
        self.answer(status, body, (("Content-Type", "application/json"), *headers))


class Store:
    """Linearizable keys with one revision counter; `PUT /write/KEY` is the operator's own way."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.items = {}
        self.deleted = {}
        # How often the store has come back from an older copy of itself, and such a copy.
        self.era = 1
        self.copy = None
        self.is_away = False

    def save_copy(self):
        with self.changed:
            self.copy = (self.revision, dict(self.items), dict(self.deleted))

    def leave(self):
        with self.changed:
            self.is_away = True
            self.changed.notify_all()

    def come_back(self):
        """Answer again, from the copy: later writes are lost, and their revisions come again."""
        with self.changed:
            self.revision, items, deleted = self.copy
            self.items, self.deleted = dict(items), dict(deleted)
            self.era += 1
            self.is_away = False

    def write(self, key, value):
        with self.changed:
            self.revision += 1
            if value is None:
                self.items.pop(key, None)
                self.deleted[key] = self.revision
            else:
                self.deleted.pop(key, None)
                self.items[key] = (self.revision, value)
            self.changed.notify_all()
            return self.revision

    def describe(self, key):
        revision, value = self.items[key]
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "revision": revision, "created_rev": 1, "lease": 0}

    def range(self, prefix):
        with self.changed:
            items = [self.describe(k) for k in sorted(self.items) if k.startswith(prefix)]
            return {"items": items, "more_pages": False, "as_of": self.revision}

    def watch(self, prefix, after, wait_s):
        ends_s = time.monotonic() + wait_s
        with self.changed:
            while True:
                found = [
                    self.describe(k)
                    for k, (revision, _) in self.items.items()
                    if k.startswith(prefix) and revision > after
                ]
                found += [
                    {"key": k, "revision": revision, "deleted": True}
                    for k, revision in self.deleted.items()
                    if k.startswith(prefix) and revision > after
                ]
                left_s = ends_s - time.monotonic()
                if self.is_away or after > self.revision:
                    return None
                if found or left_s <= 0:
                    found.sort(key=lambda event: event["revision"])
                    return {"events": found, "as_of": self.revision}
                self.changed.wait(left_s)


def serve_store(host, port):
    store = Store()

    class StoreHandler(Handler):
        def reply(self, status, value):
            self.answer_json(status, value, (("Store-Era", str(store.era)),))

        def do_GET(self):
            parts = urlsplit(self.path)
            query = dict(parse_qsl(parts.query))
            time.sleep(0.004)
            if store.is_away:
                self.reply(503, {})
            elif parts.path == "/daisystack/kv-range":
                self.reply(200, store.range(query["prefix"]))
            elif parts.path == "/daisystack/kv-watch":
                wait_s = int(query["wait_ms"]) / 1000
                found = store.watch(query["prefix"], int(query["after"]), wait_s)
                if found is None:
                    self.reply(503 if store.is_away else 410, {})
                else:
                    self.reply(200, found)
            else:
                self.reply(404, {})

        def do_POST(self):
            # Not of the protocol: the script plays the drill.
            self.read_body()
            drill = {"copy": store.save_copy, "away": store.leave, "back": store.come_back}
            drill[self.path.removeprefix("/drill/")]()
            self.answer_json(200, {"revision": store.revision})

        def do_PUT(self):
            body = self.read_body()
            self.answer_json(200, {"revision": store.write(self.path[len("/write/") :], body)})

        def do_DELETE(self):
            self.read_body()
            self.answer_json(200, {"revision": store.write(self.path[len("/write/") :], None)})

    Server((host, port), StoreHandler).serve_forever()


class Runner:
    """Run each request for pause_s.

    One with `endless` sends a body without end instead of its answer. One with `early` answers long
    requests before it has read them, without a length; with `breaks` it ends midway, as a crash
    does.
    """

    def __init__(self, options):
        self.id = options["id"]
        self.host, self.port = options["host"], options["port"]
        self.pause_s = options.get("pause_s", 0.02)
        # Wire bytes that a faulty runner repeats in a chunked body until the caller closes.
        self.endless = options.get("endless", "").encode("latin-1")
        self.bytes_per_s = options.get("bytes_per_s", 0)
        self.early, self.breaks = options.get("early", False), options.get("breaks", False)
        # It says so in all its answers.
        self.is_leaving = False
        self.record = open(options["record"], "a", buffering=1)

    def write(self, event, handler):
        line = {"at_s": round(time.monotonic(), 4), "runner": self.id, "event": event}
        line["id"] = handler.headers.get("X-Attempt-Id")
        line["path"] = handler.path
        line["tenant"] = handler.headers.get("X-Tenant")
        self.record.write(json.dumps(line) + "\n")


def serve_runner(options):
    runner = Runner(options)

    class RunnerHandler(Handler):
        def setup(self):
            if runner.early:
                # As at a runner that reads a long request slowly.
                self.request.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            super().setup()

        def run(self):
            if runner.early and int(self.headers.get("Content-Length") or 0) > 100_000:
                self.answer_early()
                return
            self.read_body()
            request_id = self.headers.get("X-Attempt-Id") or ""
            expected = self.headers.get("X-Expect-Instance")
            if self.path == "/health":
                status = 503 if runner.is_leaving else 200
                self.answer(status, b"", (("X-Instance-Id", runner.id),))
                return
            if self.path == "/leave":
                # Not of the protocol: the script takes the runner away.
                runner.is_leaving = True
                self.answer(200, b"")
                return
            if expected not in (None, runner.id):
                self.answer(421, b"", (("X-Instance-Id", runner.id),))
                return
            runner.write("runs", self)
            time.sleep(runner.pause_s)
            stamp = (("X-Attempt-Id", request_id), ("X-Response-Stamp", f"{runner.id}.1"))
            if runner.endless:
                self.send_endless(stamp)
                return
            if runner.is_leaving:
                stamp += (("Server-Leaving", "1"), ("Connection", "close"))
            body = json.dumps({"id": request_id, "by": runner.id}).encode()
            self.answer(200, body, stamp)
            runner.write("answered", self)

        def answer_early(self):
            """Answer before the body is in, without a length; then read on, or end midway."""
            request_id = self.headers.get("X-Attempt-Id") or ""
            self.rfile.read(1000)
            runner.write("runs", self)
            time.sleep(runner.pause_s)
            self.close_connection = True
            head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
            head += f"X-Response-Stamp: {runner.id}.1\r\nConnection: close\r\n\r\n"
            lines = [f"line {n} of 100 for {request_id}\n" for n in range(1, 101)]
            self.wfile.write((head + "".join(lines[:50])).encode())
            time.sleep(runner.pause_s)
            if runner.breaks:
                runner.write("resets the channel after 50 of 100 lines", self)
                linger = struct.pack("ii", 1, 0)
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return
            self.wfile.write("".join(lines[50:]).encode())
            self.rfile.read(int(self.headers["Content-Length"]) - 1000)
            runner.write("answered", self)

        def send_endless(self, stamp):
            self.send_response(200)
            for name, value in (*stamp, ("Transfer-Encoding", "chunked")):
                self.send_header(name, value)
            self.end_headers()
            block = runner.endless * max(1, 30_000 // len(runner.endless))
            started_s, sent = time.monotonic(), 0
            self.close_connection = True
            try:
                while True:
                    self.wfile.write(block)
                    sent += len(block)
                    if runner.bytes_per_s:
                        ahead_s = sent / runner.bytes_per_s - (time.monotonic() - started_s)
                        time.sleep(max(0.0, ahead_s))
            except OSError:
                runner.write(f"caller closed after {sent} bytes", self)

        do_GET = do_POST = run

    Server((runner.host, runner.port), RunnerHandler).serve_forever()


def build_piece(version, index, size):
    """Return the bytes of a piece of the weights, which differ by version and index."""
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return seed * (size // len(seed))


def serve_origin(options):
    """Serve the digests and pieces of every version."""
    count, size, model = options["chunks"], options["chunk_bytes"], options["model"]

    record = open(options["record"], "a", buffering=1)
    # Indexes of the digests that the next answer with digests spoils.
    to_spoil = []
    # Until when calls are answered by interim heads without end.
    endless_until_s = [0.0]

    class OriginHandler(Handler):
        def note(self, event):
            line = {"at_s": round(time.monotonic(), 4), "runner": options["id"], "event": event}
            record.write(json.dumps(line) + "\n")

        def do_PUT(self):
            # Not of the protocol: the script spoils the next answer with digests, or all for a time.
            number = int(self.path.rpartition("/")[2])
            if self.path.startswith("/endless/"):
                endless_until_s[0] = time.monotonic() + number
            else:
                to_spoil.append(number)
            self.answer(200, b"")

        def send_endless(self):
            """Send heads that are no answer until the caller closes."""
            self.note(f"begins an answer without end to {self.path}")
            sent = 0
            self.close_connection = True
            try:
                while True:
                    self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                    sent += 1
                    time.sleep(0.05)
            except OSError:
                self.note(f"the caller of {self.path} closed after {sent} heads")

        def do_GET(self):
            if time.monotonic() < endless_until_s[0]:
                self.send_endless()
                return
            parts = urlsplit(self.path)
            query = dict(parse_qsl(parts.query))
            version = int(query["version"])
            if parts.path.startswith("/daisystack/piece/"):
                index = int(query["quantity"])
                self.note(f"sends piece {index} of version {version}")
                self.answer(200, build_piece(version, index, size))
                return
            pieces = [build_piece(version, i, size) for i in range(count)]
            digests = [hashlib.sha256(piece).hexdigest() for piece in pieces]
            spoilt = list(to_spoil)
            to_spoil.clear()
            for index in spoilt:
                # One bit of one byte, which stays a hexadecimal digit.
                first = digests[index][0]
                digests[index] = format(int(first, 16) ^ 1, "x") + digests[index][1:]
            self.note(f"sends the digests of version {version}, spoilt: {spoilt}")
            found = {"model": model, "version": version, "chunk_bytes": size, "layers": 16}
            self.answer_json(200, found | {"digests": digests})

    Server((options["host"], options["port"]), OriginHandler).serve_forever()


class Engine(Runner):
    """A model runner: it loads what is staged as it is when it accepts an order."""

    def __init__(self, options):
        super().__init__(options)
        self.model, self.layers = options["model"], options["layers"]
        self.chunks, self.chunk_bytes = options["chunks"], options["chunk_bytes"]
        self.version = options.get("version", 0)
        self.born = int(time.time() * 1000)
        self.local_s = options.get("local_s", 0.004)
        self.load_s = options.get("load_s", 0.3)
        self.lock = threading.Lock()
        self.orders = 0
        self.is_busy = False
        pieces = range(self.chunks) if self.version else ()
        self.staged = {i: build_piece(self.version, i, self.chunk_bytes) for i in pieces}
        self.spoilt = []

    def note(self, event, **fields):
        line = {"at_s": round(time.monotonic(), 4), "runner": self.id, "event": event}
        self.record.write(json.dumps(line | fields) + "\n")

    def state(self):
        held = {"from": 0, "to": self.layers, "version": self.version}
        model = {"name": self.model, "version": self.version, "adapters": []}
        return {
            "stage": "both",
            "models": [model] if self.version else [],
            "layers": [held] if self.version else [],
            "born": self.born,
        }

    def report(self):
        load = {"busy": self.is_busy, "seq": self.orders, "queued": 0, "running": 0}
        load |= {"kv_used": 0, "kv_total": 90000, "handles": 0, "pace": 1.0}
        return self.state() | load

    def order(self, order):
        with self.lock:
            if self.is_busy or order.get("expected") not in (None, self.orders):
                return 409
            self.orders += 1
            self.is_busy = True
            staged = dict(self.staged)
        version = order["version"]
        spoilt = [
            index
            for index in range(self.chunks)
            if staged.get(index) != build_piece(version, index, self.chunk_bytes)
        ]
        self.note("accepts an order", version=version, spoilt_pieces=spoilt)
        threading.Thread(target=self.load, args=(version, spoilt), daemon=True).start()
        return 202

    def load(self, version, spoilt):
        time.sleep(self.load_s)
        with self.lock:
            self.version, self.spoilt, self.is_busy = version, spoilt, False
        self.note("has loaded", version=version)


def serve_engine(options):
    engine = Engine(options)

    class EngineHandler(Handler):
        def do_GET(self):
            parts = urlsplit(self.path)
            query = dict(parse_qsl(parts.query))
            if parts.path == "/daisystack/report":
                self.answer_json(200, engine.report())
            elif parts.path.startswith("/daisystack/stage-get/"):
                time.sleep(engine.local_s)
                self.send_staged(query.get("quantity"))
            else:
                self.answer(404, b"")

        def send_staged(self, quantity):
            if quantity is None:
                engine.note("lists what is staged")
                self.answer_json(200, {"held": sorted(engine.staged)})
                return
            index = int(quantity)
            body = engine.staged.get(index)
            self.answer(404 if body is None else 200, body or b"")
            engine.note("read", index=index)

        def do_PUT(self):
            parts = urlsplit(self.path)
            body = self.read_body()
            if parts.path.startswith("/daisystack/stage-put/"):
                time.sleep(engine.local_s)
                index = int(dict(parse_qsl(parts.query))["quantity"])
                engine.staged[index] = body
                engine.note("staged", index=index)
            self.answer(200, b"")

        def do_POST(self):
            body = self.read_body()
            if self.path == "/daisystack/order":
                self.answer_json(engine.order(json.loads(body)), {})
                return
            request_id = self.headers.get("X-Attempt-Id") or ""
            if self.headers.get("X-Expect-Instance") not in (None, engine.id):
                self.answer(421, b"", (("X-Instance-Id", engine.id),))
                return
            expected = self.headers.get("X-Expect-Version")
            if expected not in (None, str(engine.version)) and engine.version:
                self.answer(421, b"", (("X-Instance-Id", engine.id),))
                return
            if engine.is_busy or not engine.version:
                self.answer(503, b"", (("X-Not-Executed", "1"),))
                return
            version, spoilt = engine.version, engine.spoilt
            engine.note("makes tokens", id=request_id, version=version, spoilt_pieces=spoilt)
            self.send_response(200)
            self.send_header("X-Attempt-Id", request_id)
            self.send_header("X-Response-Stamp", f"{engine.id}.1")
            self.send_header("X-Weight-Versions", str(version))
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            for number in range(1, 4):
                event = f"id: {number}\ndata: {engine.id} version {version}\n\n".encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                time.sleep(engine.pause_s)
            self.wfile.write(b"0\r\n\r\n")

    Server((engine.host, engine.port), EngineHandler).serve_forever()


if __name__ == "__main__":
    if sys.argv[1] == "store":
        serve_store(sys.argv[2], int(sys.argv[3]))
    else:
        serve = {"runner": serve_runner, "engine": serve_engine, "origin": serve_origin}
        serve[sys.argv[1]](json.loads(sys.argv[2]))
