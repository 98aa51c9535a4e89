import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from daisystack.cli import app
from daisystack.core.validation import DocumentRefused, read_document
from daisystack.testing import build_raw_document


def faults_of(body):
    try:
        read_document(body)
    except DocumentRefused as refused:
        return [str(error) for error in refused.exceptions]
    return []


def edit(path, value):
    document = build_raw_document()
    target = document
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return json.dumps(document).encode()


class TestValidation(unittest.TestCase):
    def test_built_document_is_valid(self):
        document = read_document(json.dumps(build_raw_document()).encode())
        self.assertEqual(len(document.upstreams), 9)

    def test_each_fault_is_reported_with_its_path(self):
        instance = ("register", "instances", 2)
        table = [
            (("register", "colour"), "red", "$.register", "colour"),
            ((*instance, "id"), "e1", "$.register.instances", "'e1' stands 2 times"),
            ((*instance, "zone"), "nowhere", f"{_path(instance)}.zone", "got zone 'nowhere'"),
            ((*instance, "pool"), None, f"{_path(instance)}.pool", "got pool None"),
            ((*instance, "serves", 0, "version"), "z", "serves[0].version", "allowed are a, b"),
            ((*instance, "serves", 0, "model"), "z", "serves[0].model", "got model 'z'"),
            ((*instance, "http_address"), "host:1", "http_address", "allowed is an IP number"),
            ((*instance, "peer_address"), "127.0.0.1:0", "peer_address", "port from 1"),
            (("register", "regions"), ["mtl"], "$.register.zones[1].region", "got region 'qc'"),
            (("rules", "links", "instance_bytes_per_s"), -1, "$.rules.links", "got -1"),
            (("rules", "pools", 0, "max_loading"), 0, "$.rules.pools[0].max_loading", "got 0"),
            (("rules", "workspaces", 0, "share"), 0, "workspaces[0].share", "above 0"),
            (("rules", "rollout", "max_origin_copies"), 0.5, "max_origin_copies", "got 0.5"),
            (("register", "models", 0, "versions", 0, "size_bytes"), -5, "size_bytes", "got -5"),
            (("register", "models", 0, "versions", 0, "manifest_digest"), "x", "digest", "hex"),
            (("register", "pools", 0, "name"), None, "pools[0].name", "got None"),
            (("rules", "pools", 0, "max_loading"), "1", "max_loading", "got '1'"),
            (("register",), [], "$.register", ""),
            (("format",), 2, "$.format", "got 2, allowed is 1"),
        ]
        for path, value, at, message in table:
            with self.subTest(path=path):
                faults = faults_of(edit(path, value))
                self.assertTrue(any(at in f and message in f for f in faults), faults)

    def test_all_faults_are_reported_together(self):
        document = build_raw_document()
        document["register"]["colour"] = "red"
        document["register"]["instances"][1]["id"] = "e1"
        document["register"]["instances"][3]["serves"][0]["version"] = "z"
        document["rules"]["links"]["instance_bytes_per_s"] = -1
        document["register"]["zones"].append({"name": "empty-1", "region": "mtl"})
        self.assertEqual(len(faults_of(json.dumps(document).encode())), 5)

    def test_check_command_lists_faults_of_all_files_and_exits_2(self):
        with tempfile.TemporaryDirectory() as folder:
            good, bad = Path(folder, "good.json"), Path(folder, "bad.json")
            good.write_text(json.dumps(build_raw_document()))
            bad.write_bytes(edit(("format",), 2))
            result = CliRunner().invoke(app, ["check", str(good)])
            self.assertEqual((result.exit_code, "valid" in result.stdout), (0, True))
            result = CliRunner().invoke(app, ["check", str(good), str(bad), folder + "/none"])
            self.assertEqual(result.exit_code, 2)
            for expected in ("1 faults", "$.format: got 2", "No such file"):
                self.assertIn(expected, result.stderr)

    def test_invalid_documents_are_refused(self):
        oversize = json.dumps(build_raw_document()).encode() + b" " * 1_000_000
        nested, infinite = b"[" * 100_000, b'{"format": Infinity}'
        for body in (b"", b"[]", b"{", b"null", b'{"format": 1}', oversize, nested, infinite):
            with self.subTest(body=body[:20]):
                self.assertTrue(faults_of(body))


def _path(keys):
    return f"$.{keys[0]}.{keys[1]}[{keys[2]}]"
