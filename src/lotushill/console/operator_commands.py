"""The commands of `lotushill`; each returns a result to print."""

from __future__ import annotations

import json
import time
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import anyio
import httpcore

from lotushill.console.program import EXIT_FAILED
from lotushill.console.program import EXIT_OK
from lotushill.contracts.book import build
from lotushill.contracts.book import build_team
from lotushill.contracts.document import check
from lotushill.contracts.document import parse
from lotushill.contracts.document import write
from lotushill.contracts.editor import Editor
from lotushill.contracts.editor import check_object
from lotushill.contracts.editor import name_of
from lotushill.contracts.effective import trace
from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.generation import DESIRED_PREFIX
from lotushill.contracts.generation import ROOT_NAME
from lotushill.contracts.paths import find
from lotushill.contracts.paths import flatten
from lotushill.contracts.paths import put
from lotushill.contracts.paths import remove
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import Team
from lotushill.hosts.hall_status import PREFIX as HALL_PREFIX
from lotushill.keeper.acceptor import STATUS_KEY
from lotushill.objectapi.http_platform import HttpPlatform

if TYPE_CHECKING:
    import argparse
    from pathlib import Path


@dataclass(frozen=True)
class Result:
    """What a command found: for people, for programs, and the exit code."""

    text: str
    value: Any
    code: int = EXIT_OK


class Commands:
    """The commands against one platform."""

    def __init__(self, platform: str) -> None:
        self._platform = HttpPlatform(f"http://{platform}")
        self._editor = Editor(self._platform)

    async def validate(self, options: argparse.Namespace) -> Result:
        """Check files: each alone, and together if a root is among them."""
        documents = [(str(path), _load(path)) for path in options.files]
        roots = [check(Root, data, path) for path, data in documents if name_of(data) == ROOT_NAME]
        teams = [check(Team, data, path) for path, data in documents if name_of(data) != ROOT_NAME]
        if roots:
            build(0, roots[0], [build_team(roots[0], team) for team in teams])
        return Result(f"{len(documents)} files are good", {"files": len(documents)})

    async def apply(self, options: argparse.Namespace) -> Result:
        """Write files as desired settings."""
        base = _load(options.base) if options.base else None
        versions: dict[str, int] = {}
        for path in options.files:
            data = _load(path)
            name = name_of(data)
            versions[name] = await self._editor.apply(name, data, base)
        lines = [f"{name} is at version {version}" for name, version in versions.items()]
        return Result("\n".join(lines), versions)

    async def get(self, options: argparse.Namespace) -> Result:
        """Show one object or all names."""
        if options.name is None:
            stored = await self._platform.list(DESIRED_PREFIX)
            names = [item.key.removeprefix(DESIRED_PREFIX) for item in stored]
            return Result("\n".join(names), names)
        if options.effective:
            return await self._effective(options.name, options.effective)
        held = await self._editor.read(options.name)
        if held is None:
            return Result(f"no such object: {options.name}", None, EXIT_FAILED)
        text = f"# {held.name}, version {held.version}\n{write(held.data)}".rstrip()
        return Result(text, {"version": held.version, "data": held.data})

    async def diff(self, options: argparse.Namespace) -> Result:
        """Show what applying a file would change; exit code 1 if anything."""
        wanted = _load(options.file)
        name = name_of(wanted)
        check_object(name, wanted)
        held = await self._editor.read(name)
        before, after = flatten(held.data if held else {}), flatten(wanted)
        changes = {
            path: {"from": before.get(path), "to": after.get(path)}
            for path in sorted(before.keys() | after.keys())
            if before.get(path) != after.get(path)
        }
        lines = [f"{path}: {item['from']!r} -> {item['to']!r}" for path, item in changes.items()]
        code = EXIT_FAILED if changes else EXIT_OK
        return Result("\n".join(lines) or f"{name} would not change", changes, code)

    async def put(self, options: argparse.Namespace) -> Result:
        """Set one value; a racing edit of the same value is a conflict."""
        value = parse(options.value, options.path)
        return await self._edit(options.name, lambda data: put(data, options.path, value))

    async def unset(self, options: argparse.Namespace) -> Result:
        """Remove one value."""
        return await self._edit(options.name, lambda data: remove(data, options.path))

    async def status(self, options: argparse.Namespace) -> Result:
        """Show what is accepted, what was turned down, and where it is in force."""
        seen = ""
        while True:
            result = await self._status()
            if not options.watch:
                return result
            if result.text != seen:
                seen = result.text
                print(seen, flush=True)
            await anyio.sleep(1.0)

    async def explain(self, options: argparse.Namespace) -> Result:
        """Tell what happened to a request, from the entry that it came through."""
        for address in options.entry:
            events = await _events(address, options.request)
            if events:
                lines = [f"{_clock(item['at'])}  {item['text']}" for item in events]
                return Result("\n".join(lines), events)
        return Result(f"no entry remembers request {options.request}", None, EXIT_FAILED)

    async def _edit(self, name: str, change: Any) -> Result:
        version = await self._editor.edit(name, change)
        return Result(f"{name} is at version {version}", {"version": version})

    async def _effective(self, name: str, wanted: str) -> Result:
        root, team = await self._editor.read(ROOT_NAME), await self._editor.read(name)
        if root is None or team is None:
            return Result(f"no such object: {name}", None, EXIT_FAILED)
        service, _, klass = wanted.partition("/")
        find(team.data, f"services.{service}.classes.{klass}")
        origins = trace(
            check(Root, root.data, ROOT_NAME), check(Team, team.data, name), service, klass
        )
        lines = [f"{path} = {item.value!r}  ({item.level})" for path, item in origins.items()]
        return Result("\n".join(lines), {path: asdict(item) for path, item in origins.items()})

    async def _status(self) -> Result:
        accepted = await self._platform.get(STATUS_KEY)
        halls = await self._platform.list(HALL_PREFIX)
        value: dict[str, Any] = {
            "accepted": json.loads(accepted.value) if accepted else None,
            "halls": {item.key.removeprefix(HALL_PREFIX): json.loads(item.value) for item in halls},
        }
        return Result(_status_text(value), value)


def _status_text(value: dict[str, Any]) -> str:
    accepted = value["accepted"] or {"generation": 0, "objects": {}}
    lines = [f"generation {accepted['generation']}"]
    for name, item in sorted(accepted["objects"].items()):
        if item["faults"]:
            fault = Fault(**item["faults"][0])
            lines.append(f"  {name} version {item['version']}: turned down, {fault}")
        else:
            lines.append(
                f"  {name} version {item['version']}: accepted in generation {item['generation']}"
            )
    for hall, item in sorted(value["halls"].items()):
        counts = ", ".join(f"{count} at {name}" for name, count in item["generations"].items())
        lines.append(f"hall {hall}: {counts}")
    return "\n".join(lines)


def _load(path: Path) -> dict[str, Any]:
    try:
        data = parse(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), (Fault("(file)", "file", str(error)),)) from error
    if not isinstance(data, dict):
        kind = type(data).__name__
        raise SettingsError(str(path), (Fault("(document)", kind, "is no mapping"),))
    return data


async def _events(address: str, request: str) -> list[dict[str, Any]]:
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request("GET", f"http://{address}/explain/{request}")
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return []
    if response.status != 200:
        return []
    found: list[dict[str, Any]] = json.loads(response.content)
    return found


def _clock(at: float) -> str:
    return time.strftime("%H:%M:%S", time.localtime(at)) + f".{int(at % 1 * 1000):03d}"
