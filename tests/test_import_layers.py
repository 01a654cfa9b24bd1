"""The rooms of the core import each other in one direction only."""

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
"""Rooms, and the two modules beside them; each imports only those before it."""

ALLOWED_BY_PACKAGE = {
    name: frozenset(LAYERS[:number]) for number, name in enumerate(LAYERS)
} | {"planner": frozenset({"model"})}


def find_imports(path: Path) -> set[str]:
    """Return the rooms that a module imports when it runs, not only for types."""
    parts = path.relative_to(CORE).parts
    tree = ast.parse(path.read_text())
    for_types = {
        inner
        for node in ast.walk(tree)
        if isinstance(node, ast.If) and ast.unparse(node.test) == "TYPE_CHECKING"
        for inner in ast.walk(node)
    }
    rooms = set()
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or not node.level or node in for_types:
            continue
        base = parts[: len(parts) - node.level]
        names = [node.module] if node.module else [a.name for a in node.names]
        rooms |= {(*base, *(name or "").split("."))[0] for name in names}
    return rooms


class ImportLayersTest(unittest.TestCase):
    def test_every_module_is_in_a_package(self) -> None:
        beside = {path.stem for path in CORE.glob("*.py")} - {"__init__"}
        self.assertEqual(beside, {"context", "reducer"})

    def test_packages_import_only_lower_layers(self) -> None:
        for path in sorted(CORE.rglob("*.py")):
            parts = path.relative_to(CORE).parts
            room = parts[0].removesuffix(".py")
            if room == "__init__":
                continue
            allowed = ALLOWED_BY_PACKAGE[room] | {room}
            with self.subTest(module="/".join(parts)):
                self.assertLessEqual(find_imports(path), allowed)

    def test_every_package_lists_its_imports(self) -> None:
        for folder in sorted(path for path in CORE.iterdir() if path.is_dir()):
            if folder.name == "__pycache__":
                continue
            text = (folder / "__init__.py").read_text()
            with self.subTest(room=folder.name):
                page = ast.get_docstring(ast.parse(text)) or ""
                self.assertRegex(page, r"\b(Imports|May import) ")


if __name__ == "__main__":
    unittest.main()
