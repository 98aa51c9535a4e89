import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parent.parent
NOT_IN_CORE = {"time", "eventlet", "socket", "urllib3", "thrift", "threading", "select"}


class TestLayout(unittest.TestCase):
    def test_core_does_not_import_io_or_adapters(self):
        for path in (PACKAGE / "core").glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                names = []
                if isinstance(node, ast.Import):
                    names = [alias.name for alias in node.names]
                elif isinstance(node, ast.ImportFrom):
                    names = [node.module or ""]
                for name in names:
                    with self.subTest(path=path.name, name=name):
                        self.assertNotIn(name.split(".")[0], NOT_IN_CORE)
                        if name.startswith("daisystack."):
                            self.assertTrue(name.startswith("daisystack.core."))

    def test_exports_exist(self):
        for path in PACKAGE.rglob("*.py"):
            if "gen" in path.parts:
                continue
            tree = ast.parse(path.read_text())
            defined = {n.name for n in tree.body if hasattr(n, "name")}
            for node in tree.body:
                targets = getattr(node, "targets", [getattr(node, "target", None)])
                for name in (t.id for t in targets if isinstance(t, ast.Name)):
                    defined.add(name)
                if isinstance(node, (ast.Import, ast.ImportFrom)):
                    defined.update(a.asname or a.name for a in node.names)
                if isinstance(node, ast.Assign):
                    for tuple_ in (t for t in node.targets if isinstance(t, ast.Tuple)):
                        defined.update(e.id for e in tuple_.elts)
            for name in _exports(tree):
                with self.subTest(path=str(path.relative_to(PACKAGE)), name=name):
                    self.assertIn(name, defined)


def _exports(tree):
    for node in tree.body:
        if isinstance(node, ast.Assign) and getattr(node.targets[0], "id", "") == "__all__":
            return ast.literal_eval(node.value)
    return []
