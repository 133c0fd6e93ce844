"""Groups of requests that share properties such as team, route, path or prompt."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.routing.demand import PromptPart

_MAX_PATH_LENGTH = 120


@dataclass(frozen=True)
class Group:
    """Requests of one team on one route, or a subset of these that shares a path or prompt."""

    service: str
    label: str
    """Team, route and shared property, in a form that operators can read."""

    def is_within(self, other: Group) -> bool:
        """Return whether all requests of this group belong to the other group as well."""
        return self.service == other.service and self.label.startswith(f"{other.label}, ")


def groups_of(
    service: str, team: str, route: str, target: bytes, parts: tuple[PromptPart, ...]
) -> tuple[Group, ...]:
    """Return the groups of a request: team and route, these with the path, these with the prompt.

    A caller that puts a time or an id into each body keeps its team and usually its path. If it
    also sends harmless requests on the same route, the path or prompt distinguishes the two. The
    last part of a prompt is specific to the request, so the part before it identifies the prompt.
    """
    caller = f"{team} on {route}"
    path = target.partition(b"?")[0].decode("latin-1")[:_MAX_PATH_LENGTH]
    labels = [caller, f"{caller}, {path}"]
    if len(parts) > 1:
        labels.append(f"{caller}, prompt {parts[-2].id:x}")
    return tuple(Group(service, label) for label in labels)
