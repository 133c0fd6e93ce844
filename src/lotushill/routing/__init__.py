"""Routing of requests to services: routes, services, teams and limits."""

from __future__ import annotations
