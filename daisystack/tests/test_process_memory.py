"""Test the peak memory of an entry's process beside many answers without end at a time."""

import re
import tempfile
import unittest
from pathlib import Path

import eventlet
from attrs import define

from daisystack.testing.scripted import ScriptedServer, read_request
from daisystack.tests.on_platform.site import HOST, PlatformSite
from daisystack.tests.on_platform.standin import build_config

MEMORY_MB = 300
KB_PER_MB = 1_000_000 / 1024
UPSTREAMS, SLOTS, CALLERS = 3, 100, 300
BLOCK = b"x" * 65_536
CHUNK = b"10000\r\n%s\r\n" % BLOCK
OK = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
STREAM = OK + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "head": ("/risk/", OK + b"A: ", BLOCK),
    "body in chunks": ("/risk/", CHUNKED, CHUNK),
    "body without length": ("/risk/", OK + b"\r\n", BLOCK),
    "failure": ("/risk/", CHUNKED.replace(b"200 OK", b"500 Failed"), CHUNK),
    "trailer": ("/risk/", CHUNKED + b"0\r\nA: ", BLOCK),
    "event": ("/flow/", STREAM, CHUNK),
}


@define(eq=False)
class LimitedSite(PlatformSite):
    """Site whose processes are told how much memory they have."""

    def extra_settings(self, name):
        return {"limits.memory_mb": str(MEMORY_MB)}

    def peak_kb(self, name):
        status = Path(f"/proc/{self.processes.by_name[name].popen.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])


@define
class EndlessUpstream:
    """Answer with the id of the request and send one block until the peer closes."""

    head: bytes = b""
    block: bytes = b""

    def __call__(self, sock):
        request_id = re.search(rb"x-attempt-id: *(\S+)", read_request(sock), re.IGNORECASE)[1]
        sock.sendall(self.head % request_id)
        while True:
            sock.sendall(self.block)
            eventlet.sleep(0)


class TestProcessMemory(unittest.TestCase):
    def start(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        site = LimitedSite(Path(folder.name), entries=1, models=0)
        self.addCleanup(site.stop)
        site.start()
        config = build_config(f"{HOST}:{site.base_port + 1}") | {"version": 2}
        risk = next(route for route in config["routes"] if route["name"] == "risk")
        flow = {"name": "flow", "prefix": "/flow/", "kind": "streaming", "stream_resume": True}
        config["routes"].append(risk | flow)
        site.publish("op/config", config)
        return site

    # Answers without end took the memory of the machine that had asked for them, each within a
    # bound of its own, and the requests of all callers ended with the process.
    def test_an_entry_stays_within_its_memory_beside_hundreds_of_endless_answers(self):
        site, script = self.start(), EndlessUpstream()
        for number in range(UPSTREAMS):
            server = ScriptedServer([script])
            self.addCleanup(server.close)
            entry = {"service": "fragile", "address": server.address, "zone": "z1", "seq": 1}
            entry |= {"version": "v1", "slots": SLOTS, "state": "ready", "cold_left_ms": 0}
            site.publish(f"servers/endless-{number}", entry | {"born": 1})
        for name, (path, script.head, script.block) in ENDLESS.items():
            with self.subTest(name):
                callers = [
                    eventlet.spawn(site.call, 0, "GET", f"{path}{n}") for n in range(CALLERS)
                ]
                statuses = {caller.wait().status for caller in callers}
                self.assertTrue(site.processes.by_name["entry-0"].is_running())
                # Each is told that it failed, or gets an answer that is cut; none looks whole.
                self.assertLessEqual(statuses, {0, 500, 502, 503, 504})
                self.assertLess(site.peak_kb("entry-0"), MEMORY_MB * KB_PER_MB)


if __name__ == "__main__":
    unittest.main()
