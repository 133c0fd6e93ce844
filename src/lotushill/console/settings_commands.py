"""Commands of `lotushill` that read and edit the settings tree."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

from lotushill.console.result import Result
from lotushill.contracts.document import check
from lotushill.contracts.editor import Editor
from lotushill.contracts.editor import check_object
from lotushill.contracts.effective import trace
from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.names import ROOT_NAME
from lotushill.contracts.names import document_name
from lotushill.contracts.paths import flatten
from lotushill.contracts.paths import put
from lotushill.contracts.paths import remove
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import TeamSettings
from lotushill.contracts.yaml_text import parse
from lotushill.contracts.yaml_text import write
from lotushill.platform import names
from lotushill.platform.configuration import parse_table
from lotushill.process.exit_status import EXIT_FAILED
from lotushill.process.exit_status import EXIT_OK

if TYPE_CHECKING:
    import argparse
    from pathlib import Path

    from lotushill.platform.object_store import ObjectStore
    from lotushill.routing.table import RoutingTable


class SettingsCommands:
    """Commands that work on the settings tree in one store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._editor = Editor(store)

    async def validate(self, options: argparse.Namespace) -> Result:
        """Validate settings files without writing them."""
        for path in options.files:
            data = _load(path)
            check(Root if document_name(data) == ROOT_NAME else TeamSettings, data, str(path))
        count = len(options.files)
        return Result(f"{count} files are valid", {"files": count})

    async def apply(self, options: argparse.Namespace) -> Result:
        """Write files as settings."""
        base = _load(options.base) if options.base else None
        revisions: dict[str, int] = {}
        for path in options.files:
            data = _load(path)
            name = document_name(data)
            revisions[name] = await self._editor.apply(name, data, base)
        lines = [f"{name} is at revision {revision}" for name, revision in revisions.items()]
        return Result("\n".join(lines), revisions)

    async def get(self, options: argparse.Namespace) -> Result:
        """Show one object, or the names of all objects."""
        if options.name is None:
            object_names = await self._editor.names()
            return Result("\n".join(object_names), object_names)
        if options.effective:
            return await self._effective(options.name, options.effective)
        stored = await self._editor.read(options.name)
        if stored is None:
            return Result(f"object not found: {options.name}", None, EXIT_FAILED)
        text = f"# {stored.name}, revision {stored.revision}\n{write(stored.data)}".rstrip()
        return Result(text, {"revision": stored.revision, "data": stored.data})

    async def diff(self, options: argparse.Namespace) -> Result:
        """Show what applying a file would change; exit code 1 if there is any change."""
        edited = _load(options.file)
        name = document_name(edited)
        check_object(name, edited)
        stored = await self._editor.read(name)
        before, after = flatten(stored.data if stored else {}), flatten(edited)
        changes = {
            path: {"from": before.get(path), "to": after.get(path)}
            for path in sorted(before.keys() | after.keys())
            if before.get(path) != after.get(path)
        }
        lines = [f"{path}: {item['from']!r} -> {item['to']!r}" for path, item in changes.items()]
        code = EXIT_FAILED if changes else EXIT_OK
        return Result("\n".join(lines) or f"{name} would not change", changes, code)

    async def put(self, options: argparse.Namespace) -> Result:
        """Set one value; a concurrent edit of the same value is a conflict."""
        value = parse(options.value, options.path)

        def change(data: dict[str, Any]) -> dict[str, Any]:
            return put(_initial_data(options.name, data), options.path, value)

        return await self._edit(options.name, change)

    async def unset(self, options: argparse.Namespace) -> Result:
        """Remove one value."""
        return await self._edit(options.name, lambda data: remove(data, options.path))

    async def _edit(self, name: str, change: Any) -> Result:
        revision = await self._editor.edit(name, change)
        return Result(f"{name} is at revision {revision}", {"revision": revision})

    async def _effective(self, name: str, class_path: str) -> Result:
        """Show the values in force for a class of a service, for the root or for one team."""
        service, _, klass = class_path.partition("/")
        table = await self._table()
        route = table.route(klass)
        if route is None or service not in table.services:
            return Result(f"class not found: {class_path}", None, EXIT_FAILED)
        root = await self._editor.read(ROOT_NAME)
        stored = None if name == ROOT_NAME else await self._editor.read(name)
        settings = check(TeamSettings, stored.data, name) if stored else None
        origins = trace(
            check(Root, root.data if root else {}, ROOT_NAME),
            settings,
            route,
            table.team_by_name(name.partition("/")[2]),
            service,
        )
        lines = [f"{path} = {item.value!r}  ({item.level})" for path, item in origins.items()]
        return Result("\n".join(lines), {path: asdict(item) for path, item in origins.items()})

    async def _table(self) -> RoutingTable:
        stored = await self._store.get(names.CONFIGURATION_KIND, names.CONFIGURATION_NAME)
        return parse_table(stored.spec if stored else {"version": 0})


def _initial_data(name: str, data: dict[str, Any]) -> dict[str, Any]:
    """Return an object's data, or the initial data of a new object."""
    team = name.partition("/")[2]
    return data or ({"team": team} if team else {})


def _load(path: Path) -> dict[str, Any]:
    try:
        data = parse(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), (Fault("(file)", "file", str(error)),)) from error
    if not isinstance(data, dict):
        kind = type(data).__name__
        raise SettingsError(str(path), (Fault("(document)", kind, "must be a mapping"),))
    return data
