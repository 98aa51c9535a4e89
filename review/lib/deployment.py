"""A small deployment on loopback addresses: the deploy file's programs and small stand-ins."""

import contextlib
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).with_name("standins.py")
METRICS_PORT = 7714
HOST_NAME = "site.example"
KEY = "key-of-the-dealers"


class CannotRun(Exception):
    """The case couldn't run; run.sh exits with 2."""


def find_prefix():
    """Return the first three numbers of loopback addresses that nobody uses."""
    for step in range(200):
        prefix = f"127.{20 + (os.getpid() + step) % 200}.7."
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"{prefix}2", METRICS_PORT))
            return prefix
    raise CannotRun("no free loopback addresses")


def find_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Site:
    """Entries, agents, runners and a store; every process is ended by stop()."""

    def __init__(self, folder, entries=2):
        self.folder = Path(folder)
        self.prefix = find_prefix()
        self.entry_count = entries
        self.processes = {}
        self.addresses = {}
        self.record_path = self.folder / "runners.jsonl"
        self.record_path.touch()
        self.store_host = f"{self.prefix}1"
        self.store_port = find_port(self.store_host)
        hosts = [self.entry_host(i) for i in range(entries)]
        names = ("front", "ready", "control", "directory", "news")
        self.ports = {name: find_port(hosts[0]) for name in names}
        self.lines = []
        self.lock = threading.Lock()
        self.started_s = time.monotonic()
        roles = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}

    def note(self, text):
        """Keep a line for record.txt."""
        with self.lock:
            self.lines.append(f"{time.monotonic() - self.started_s:8.3f} s  {text}")

    def entry_host(self, index):
        return f"{self.prefix}{10 + index}"

    # Processes

    def spawn(self, name, command, environment):
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            command,
            cwd=REPOSITORY,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.note(f"started {name}")

    def environment(self):
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        return kept | {
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }

    def start_store(self):
        command = [sys.executable, "-S", str(STANDINS), "store", self.store_host]
        self.spawn("store", [*command, str(self.store_port)], self.environment())
        self.wait(lambda: accepts(self.store_host, self.store_port), "store")

    def start_runner(self, name, number, kind="runner", **options):
        """Start a runner; return its address. number is the last one of its address."""
        host = f"{self.prefix}{number}"
        port = find_port(host)
        options |= {"id": name, "host": host, "port": port, "record": str(self.record_path)}
        command = [sys.executable, "-S", str(STANDINS), kind, json.dumps(options)]
        self.spawn(name, command, self.environment())
        self.wait(lambda: accepts(host, port), name)
        self.addresses[name] = f"{host}:{port}"
        return self.addresses[name]

    def settings(self, name, host, changes=()):
        ports = self.ports
        seeds = ",".join(
            f"{self.entry_host(i)}:{ports['control']}" for i in range(min(3, self.entry_count))
        )
        values = {
            "node_name": name,
            "role": name.partition("-")[0],
            "machine_class": "front",
            "ip": host,
            "zone": "z1",
            "region": "r1",
            "zones.z1": "r1",
            "listen.front": f"{host}:{ports['front']}",
            "listen.ready": f"{host}:{ports['ready']}",
            "listen.control": f"{host}:{ports['control']}",
            "listen.directory": f"{host}:{ports['directory']}",
            "port_range": f"{ports['news']},{ports['news'] + 15}",
            "seeds": seeds,
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": "1200",
            "bounds.stable_window_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000",
            "bounds.revoke_strict": "true",
            "bounds.revoke_ms": "5000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_slack": "104",
            "bounds.recover_s": "12",
            "bounds.pass_ms": "120",
            "bounds.version_ms": "8000",
            "bounds.ttl_max_s": "5",
            "platform.address": f"{self.store_host}:{self.store_port}",
            "platform.form": "read",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
        }
        return "".join(f"{k}={v}\n" for k, v in (values | dict(changes)).items())

    def start_program(self, name, role, host, changes=()):
        path = self.folder / f"{name}.conf"
        path.write_text(self.settings(name, host, changes))
        environment = self.environment() | {"DAISYSTACK_SETTINGS": str(path)}
        self.spawn(name, self.commands[role], environment)

    def start_entries(self):
        for index in range(self.entry_count):
            self.start_program(f"entry-{index}", "entry", self.entry_host(index))
        for index in range(self.entry_count):
            self.wait(lambda i=index: self.is_ready(i), f"entry-{index}")

    def start_agent(self, number, engine_name, service_name):
        """Start the agent beside an engine, at the engine's own loopback address."""
        host, _, _ = self.addresses[engine_name].partition(":")
        changes = {
            "machine_class": "side",
            "serves": "side",
            "service": service_name,
            "app": self.addresses[engine_name],
            "limits.memory_mb": "168",
            "limits.max_fds": "1124",
            "limits.link_mbps": "3.8",
        }
        self.start_program(f"agent-{number}", "agent", host, changes)

    def signal(self, name, number):
        process = self.processes[name]
        if process.poll() is None:
            os.kill(process.pid, number)
        self.note(f"{signal.Signals(number).name} to {name}")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                os.kill(process.pid, signal.SIGKILL)
        for process in self.processes.values():
            process.wait()

    def wait(self, condition, what, timeout_s=20.0):
        ends_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > ends_s:
                raise CannotRun(f"{what} did not come up")
            time.sleep(0.03)

    # The operator and the consumers

    def write(self, key, value):
        """Write to the store as the operator or a runner does; return when it was acknowledged."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        status, _, _ = call(self.store_host, self.store_port, "PUT", f"/write/{key}", body, {}, 3.0)
        if status != 200:
            raise CannotRun(f"the store did not take {key}")
        self.note(f"the store acknowledged {key}: {body[:300].decode('latin-1')}")
        return time.monotonic()

    def delete(self, key):
        call(self.store_host, self.store_port, "DELETE", f"/write/{key}", None, {}, 3.0)
        self.note(f"the store acknowledged the removal of {key}")

    def drill(self, step):
        """Let the store keep a copy of itself, go away, or come back from the copy."""
        body = call(self.store_host, self.store_port, "POST", f"/drill/{step}", None, {}, 3.0)[2]
        self.note(f"the store: {step}, at revision {json.loads(body)['revision']}")
        return time.monotonic()

    def is_ready(self, index):
        port = self.ports["ready"]
        return (
            call(self.entry_host(index), port, "GET", "/daisystack/ready", None, {}, 1.0)[0] == 200
        )

    def request(
        self,
        index,
        method,
        path,
        request_id,
        limit_ms,
        key=KEY,
        timeout_s=None,
        headers=(),
        body=None,
    ):
        """Send a consumer's request to an entry on a new channel; return status, headers, body."""
        sent = {"Host": HOST_NAME, "X-Attempt-Id": request_id, "X-Deadline-Ms": str(limit_ms)}
        if key is not None:
            sent["Api-Key"] = key
        sent |= dict(headers)
        wait_s = limit_ms / 1000 if timeout_s is None else timeout_s
        host, port = self.entry_host(index), self.ports["front"]
        return call(host, port, method, path, body, sent, wait_s)

    def runs(self):
        """Return the runners' record as a list of objects."""
        return [json.loads(line) for line in self.record_path.read_text().splitlines()]


def accepts(host, port):
    with socket.socket() as probe:
        probe.settimeout(0.5)
        return probe.connect_ex((host, port)) == 0


def call(host, port, method, path, body, headers, timeout_s):
    """Return status, headers and body of an answer; status 0 if none came in time."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def service(name):
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }


def route(name, kind, service_name, timeout_ms, **changes):
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 405,
        "priority": 1,
        "service": service_name,
        "max_attempts": 2,
        "public": False,
    } | changes


def config(version, routes, services, tenants):
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


def runner_entry(service_name, address, **changes):
    born = int(time.time() * 1000)
    return {
        "service": service_name,
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": born,
    } | changes


def main(run, entries=2):
    """Run a case; write record.txt beside its script; exit with 1 if the rule broke, 0 or 2."""
    # A script that is stopped ends what it has started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    case = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    lines, code = [], 2
    with tempfile.TemporaryDirectory() as folder:
        site = None
        try:
            site = Site(folder, entries)
            broken = run(site, trouble)
            code = 1 if broken else 0
            site.note(f"RESULT: the rule was {'broken' if broken else 'kept'}")
        except Exception as error:
            lines = [f"the case couldn't run: {type(error).__name__}: {error}"]
        finally:
            if site is not None:
                site.stop()
                lines = site.lines + lines
                lines += ["", "what the runners recorded:"]
                for entry in site.runs():
                    at_s = entry.pop("at_s") - site.started_s
                    lines.append(f"{at_s:8.3f} s  " + json.dumps(entry))
                for name in site.processes:
                    text = (site.folder / f"{name}.log").read_text(errors="replace")
                    found = re.findall(r"^.*(?:Traceback|Error|task_step_failed).*$", text, re.M)
                    lines += [f"{name} logged: {line[:300]}" for line in found[:5]]
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    import shutil

                    shutil.copytree(site.folder, keep, dirs_exist_ok=True)
        text = "\n".join(lines).replace(str(REPOSITORY), ".").replace(folder, "TMP")
        (case / "record.txt").write_text(text + "\n")
    print(lines[-1] if code == 2 else f"{'broken' if code else 'kept'} (record.txt)")
    sys.exit(code)
