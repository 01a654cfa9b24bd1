"""Packages of the core import only packages of lower layers."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

import jacinthloom_core

CORE = Path(jacinthloom_core.__file__).parent

LAYERS = (
    "model",
    "members",
    "policy",
    "shared_log",
    "context",
    "worker_owners",
    "job_coordination",
    "operator_api",
    "reducer",
)
"""Packages and top-level modules; each imports only those before it."""

ALLOWED_IMPORTS_BY_PACKAGE = {
    name: frozenset(LAYERS[:number]) for number, name in enumerate(LAYERS)
} | {"planner": frozenset({"model"})}


def find_imported_packages(path: Path) -> set[str]:
    """Return the packages that a module imports at run time.

    Imports under ``if TYPE_CHECKING`` do not count.
    """
    parts = path.relative_to(CORE).parts
    tree = ast.parse(path.read_text())
    type_checking_nodes = {
        inner
        for node in ast.walk(tree)
        if isinstance(node, ast.If) and ast.unparse(node.test) == "TYPE_CHECKING"
        for inner in ast.walk(node)
    }
    packages = set()
    for node in ast.walk(tree):
        if (
            not isinstance(node, ast.ImportFrom)
            or not node.level
            or node in type_checking_nodes
        ):
            continue
        base = parts[: len(parts) - node.level]
        names = [node.module] if node.module else [a.name for a in node.names]
        packages |= {(*base, *(name or "").split("."))[0] for name in names}
    return packages


class ImportLayersTest(unittest.TestCase):
    def test_every_module_is_in_a_package(self) -> None:
        top_level = {path.stem for path in CORE.glob("*.py")} - {"__init__"}
        self.assertEqual(top_level, {"context", "reducer"})

    def test_packages_import_only_lower_layers(self) -> None:
        for path in sorted(CORE.rglob("*.py")):
            parts = path.relative_to(CORE).parts
            package = parts[0].removesuffix(".py")
            if package == "__init__":
                continue
            allowed = ALLOWED_IMPORTS_BY_PACKAGE[package] | {package}
            with self.subTest(module="/".join(parts)):
                self.assertLessEqual(find_imported_packages(path), allowed)

    def test_every_package_lists_its_imports(self) -> None:
        for folder in sorted(path for path in CORE.iterdir() if path.is_dir()):
            if folder.name == "__pycache__":
                continue
            text = (folder / "__init__.py").read_text()
            with self.subTest(package=folder.name):
                docstring = ast.get_docstring(ast.parse(text)) or ""
                self.assertRegex(docstring, r"\b(Imports|May import) ")


if __name__ == "__main__":
    unittest.main()
