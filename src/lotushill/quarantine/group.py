"""Groups of requests that have more in common than their bytes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.routing.demand import PromptPart

_MOST_PATH = 120


@dataclass(frozen=True)
class Group:
    """Requests of one team on one route, or those of them that share more."""

    service: str
    label: str
    """Team, route and what is shared, for operators."""

    def is_within(self, other: Group) -> bool:
        """Return whether all requests of this group are of another one as well."""
        return self.service == other.service and self.label.startswith(f"{other.label}, ")


def groups_of(
    service: str, team: str, route: str, target: bytes, parts: tuple[PromptPart, ...]
) -> tuple[Group, ...]:
    """Return the groups of a request: by team and route alone, by path and by prompt as well.

    A caller that puts a time or an id into each body keeps its team and mostly its path; where it
    has sound requests on the same route, path or prompt tell the others from them. The last part of
    a prompt is the request's own.
    """
    caller = f"{team} on {route}"
    path = target.partition(b"?")[0].decode("latin-1")[:_MOST_PATH]
    labels = [caller, f"{caller}, {path}"]
    if len(parts) > 1:
        labels.append(f"{caller}, prompt {parts[-2].id:x}")
    return tuple(Group(service, label) for label in labels)
