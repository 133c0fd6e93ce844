"""Models of the operators' documents: one root, and one object for each team."""

from __future__ import annotations

from lotushill.contracts.document import Document
from lotushill.contracts.policy import Name
from lotushill.contracts.policy import Policy


class ServiceClass(Document):
    """One class of one service; a class is a route of the platform's configuration."""

    policy: Policy = Policy()


class Service(Document):
    """One service with its classes."""

    policy: Policy = Policy()
    classes: dict[Name, ServiceClass] = {}


class Root(Document):
    """Root of the tree, whose values every team inherits."""

    policy: Policy = Policy()
    services: dict[Name, Service] = {}


class TeamSettings(Document):
    """Values that one team overrides; a team is a team of the platform's configuration."""

    team: Name
    policy: Policy = Policy()
    services: dict[Name, Service] = {}
