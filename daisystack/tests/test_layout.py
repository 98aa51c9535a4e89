import ast
import unittest
from importlib import import_module
from pathlib import Path

PACKAGE = Path(__file__).parent.parent
PACKAGES = ("daisystack", "daisystack.backends", "daisystack.testing")
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
            for node in _with_typing_imports(tree):
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

    # A name that is loaded when first used is declared for type checkers only, so a wrong name or
    # module in the table of a package would be found by its first user.
    def test_each_export_of_a_package_can_be_loaded(self):
        for name in PACKAGES:
            package = import_module(name)
            for exported in package.__all__:
                with self.subTest(package=name, name=exported):
                    self.assertIsNotNone(getattr(package, exported))
            with self.subTest(package=name), self.assertRaises(AttributeError):
                package.no_such_name  # noqa: B018


def _with_typing_imports(tree):
    for node in tree.body:
        yield node
        if isinstance(node, ast.If) and getattr(node.test, "id", "") == "TYPE_CHECKING":
            yield from node.body


def _exports(tree):
    for node in tree.body:
        if isinstance(node, ast.Assign) and getattr(node.targets[0], "id", "") == "__all__":
            return ast.literal_eval(node.value)
    return []
