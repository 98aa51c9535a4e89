import tempfile
import unittest
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path

from tools.verdict import main

CASE = '<testcase classname="t.T" name="{name}">{inside}</testcase>'
FAILED = "<failure/>"


class TestKnownRed(unittest.TestCase):
    def run_verdict(self, cases, known_failures):
        with tempfile.TemporaryDirectory() as folder:
            junit, known = Path(folder, "junit.xml"), Path(folder, "KNOWN-RED.txt")
            body = "".join(CASE.format(name=n, inside=FAILED if bad else "") for n, bad in cases)
            junit.write_text(f"<testsuite>{body}</testsuite>")
            known.write_text(
                "# comment\n" + "".join(f"t.T.{n} | c | s | w | i\n" for n in known_failures)
            )
            with redirect_stdout(StringIO()) as out:
                status = main([str(junit), str(known)])
        return status, out.getvalue().splitlines()[-1]

    def test_verdict_for_known_and_unknown_failures(self):
        table = [
            ([("a", False)], [], 0, "1 passed, 0 failed"),
            ([("a", False), ("b", True)], [], 1, "1 passed, 1 failed"),
            ([("a", False), ("b", True)], ["b"], 0, "1 passed, 0 failed"),
            ([("a", False), ("b", False)], ["b"], 1, "2 passed, 1 failed"),
            ([("a", False)], ["gone"], 1, "1 passed, 1 failed"),
            ([], [], 1, "0 passed, 0 failed"),
        ]
        for cases, known_failures, status, line in table:
            with self.subTest(cases=cases, known_failures=known_failures):
                self.assertEqual(self.run_verdict(cases, known_failures), (status, line))
