"""Packages import only from layers below them, and no imports are circular.

Imports for type annotations count as well.
"""

from __future__ import annotations

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).parents[1] / "src"
PACKAGE = "lotushill"
LAYERS = (
    ("clock", "journal", "event_log", "rendezvous", "returns", "routing"),
    ("shares",),
    ("placement", "starting"),
    ("availability", "links", "views", "contracts", "moves", "waiting"),
    ("membership", "quarantine", "platform", "standin", "relaying"),
    ("process",),
    ("clients", "limits", "duties", "following", "versions"),
    ("scheduling",),
    ("peering", "load"),
    ("requests",),
    ("gateway",),
    ("console",),
)
"""Layers from the lowest up. A package may import from lower layers, and from its own layer where
that is not circular."""
IMPORT = re.compile(rf"^\s*from ({PACKAGE}[\w.]*) import (\w+)", re.MULTILINE)


def read_modules() -> dict[str, str]:
    """Return the source text of each module by its name."""
    texts = {}
    for path in SOURCE.rglob("*.py"):
        name = ".".join(path.relative_to(SOURCE).with_suffix("").parts)
        texts[name.removesuffix(".__init__")] = path.read_text(encoding="utf-8")
    return texts


def find_imports(texts: dict[str, str]) -> dict[str, set[str]]:
    """Return the modules that each module imports."""
    found = {}
    for name, text in texts.items():
        imported = {
            f"{module}.{item}" if f"{module}.{item}" in texts else module
            for module, item in IMPORT.findall(text)
        }
        found[name] = imported - {name, PACKAGE}
    return found


def package_of(module: str) -> str:
    return module.split(".")[1]


class TestDirections(unittest.TestCase):
    def setUp(self) -> None:
        self.imports = find_imports(read_modules())
        self.layers = {name: number for number, line in enumerate(LAYERS) for name in line}

    def test_every_package_is_in_a_layer(self) -> None:
        found = {package_of(name) for name in self.imports if "." in name}
        self.assertEqual(set(self.layers), found)

    def test_no_package_imports_from_a_higher_layer(self) -> None:
        wrong = [
            f"{name} imports {used}"
            for name, named in self.imports.items()
            if "." in name
            for used in named
            if self.layers[package_of(used)] > self.layers[package_of(name)]
        ]
        self.assertEqual([], wrong)

    def test_no_module_imports_are_circular(self) -> None:
        circles = [name for name in self.imports if name in self.reachable(name)]
        self.assertEqual([], circles)

    def test_no_package_imports_are_circular(self) -> None:
        uses: dict[str, set[str]] = {}
        for name, named in self.imports.items():
            if "." in name:
                uses.setdefault(package_of(name), set()).update(package_of(used) for used in named)
        for name, used in uses.items():
            used.discard(name)
        seen: dict[str, set[str]] = {}
        for name in uses:
            reached: set[str] = set()
            waiting = list(uses[name])
            while waiting:
                current = waiting.pop()
                if current not in reached:
                    reached.add(current)
                    waiting += uses.get(current, ())
            seen[name] = reached
        self.assertEqual([], [name for name, reached in seen.items() if name in reached])

    def reachable(self, name: str) -> set[str]:
        reached: set[str] = set()
        waiting = list(self.imports[name])
        while waiting:
            current = waiting.pop()
            if current not in reached:
                reached.add(current)
                waiting += self.imports.get(current, ())
        return reached
