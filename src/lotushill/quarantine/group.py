"""Groups of requests that share properties such as team, route and path."""

from __future__ import annotations

from dataclasses import dataclass

_MAX_PATH_LENGTH = 120


@dataclass(frozen=True)
class Group:
    """Requests of one team on one route, or a subset of these that shares a path."""

    service: str
    label: str
    """Team, route and shared property, in a form that operators can read."""

    def is_within(self, other: Group) -> bool:
        """Return whether all requests of this group belong to the other group as well."""
        return self.service == other.service and self.label.startswith(f"{other.label}, ")


def groups_of(service: str, team: str, route: str, target: bytes) -> tuple[Group, ...]:
    """Return the groups of a request: team and route, and these with the path.

    A caller that puts a time or an id into each body keeps its team and usually its path. If it
    also sends harmless requests on the same route, the path distinguishes the two. The parts of its
    prompt are suspects of their own, as requests of other callers hold them as well.
    """
    caller = f"{team} on {route}"
    path = target.partition(b"?")[0].decode("latin-1")[:_MAX_PATH_LENGTH]
    labels = [caller, f"{caller}, {path}"]
    return tuple(Group(service, label) for label in labels)
