import sys
import tempfile
import unittest
from pathlib import Path

from daisystack.tests.on_platform.site import PlatformSite
from tools.processes import Processes

REPOSITORY = Path(__file__).parent.parent.parent
# Modules with many classes or with libraries of their own that a role has no use for.
UNUSED_BY_ROLE = {
    "daisystack.runtime.direct_entry": (
        "cattrs",
        "daisystack.core.config_keeper",
        "daisystack.core.register",
        "daisystack.core.validation",
        "daisystack.runtime.weight_agent",
    ),
    "daisystack.runtime.weight_agent": (
        "aioprometheus",
        "cattrs",
        "h11",
        "daisystack.core.placement",
        "daisystack.core.register",
        "daisystack.core.traffic",
        "daisystack.runtime.caller_http",
        "daisystack.runtime.direct_entry",
    ),
}


class TestStartup(unittest.TestCase):
    # Each process paid at its start for the classes and libraries of every other role: about a
    # third of the processor time of its start, in each of the hundreds of processes of a site.
    def test_a_role_does_not_load_the_modules_of_other_roles(self):
        processes = Processes(Path(tempfile.mkdtemp()), (sys.executable,))
        for module, unused in UNUSED_BY_ROLE.items():
            code = (
                f"import sys; sys.path.insert(0, {str(REPOSITORY)!r}); import {module};"
                f" print(*sorted(set({unused!r}) & set(sys.modules)))"
            )
            with self.subTest(module=module):
                process = processes.start(module, "-W", "ignore", "-c", code)
                self.assertEqual(process.wait(), 0, process.log_path.read_text())
                self.assertEqual(process.log_path.read_text().strip(), "")

    # Collections are off while a process starts. If they stayed off, garbage in cycles, as that
    # of failed calls, would fill its memory.
    def test_collections_are_on_in_a_running_process(self):
        folder = Path(tempfile.mkdtemp())
        code = (
            f"import sys; sys.path[:0] = [{str(REPOSITORY / 'platform')!r}, {str(REPOSITORY)!r}];"
            " import serve, gc, os; was_on = gc.isenabled();"
            " import daisystack.runtime.stopping as stopping;"
            " stopping.wait_for_stop = lambda _: os._exit(2 * was_on + gc.isenabled());"
            " sys.argv[1:] = sys.argv[-1:]; serve.main()"
        )
        for role, index in (("entry", 70), ("agent", 71)):
            with self.subTest(role):
                site = PlatformSite(folder, offline=frozenset({f"{role}-{index}"}))
                site.processes = Processes(folder, (sys.executable, "-W", "ignore", "-c", code))
                site.start_role(role, index)
                process = site.processes.by_name[f"{role}-{index}"]
                # Off while serve.py loads, on when the process waits for its stop.
                self.assertEqual(process.wait(), 1, process.log_path.read_text())


if __name__ == "__main__":
    unittest.main()
